package main

import (
	"bytes"
	"fmt"
	"os"

	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/core/steerer"
	"cranberryspan.dev/platform"
	"github.com/cockroachdb/errors"
)

// source is a file of settings: a tree, or what operators published on their
// platform.
type source struct {
	path     string
	document []byte
}

func readSource(path string) (source, error) {
	document, err := os.ReadFile(path)
	return source{path: path, document: document}, errors.Wrap(err, "read settings")
}

// isPublished tells published settings, which are a JSON object, from a tree, which
// nobody writes that way.
func (s source) isPublished() bool { return bytes.HasPrefix(bytes.TrimSpace(s.document), []byte("{")) }

func (s source) tree() (*resolver.Settings, error) { return resolver.Resolve(s.path, s.document) }

func (s source) published() (*steerer.Settings, error) {
	settings, err := platform.DecodeSettings(s.document)
	return settings, errors.Wrapf(err, "%s", s.path)
}

// valuesOf turns what is in force for a published route or service into the form of
// a tree's values.
func valuesOf(inForce []steerer.EffectiveValue) []resolver.Value {
	values := make([]resolver.Value, 0, len(inForce))
	for _, v := range inForce {
		values = append(values, resolver.Value{Key: v.Key, Value: v.Value, Level: v.From})
	}
	return values
}

// explainPublished lists what is in force for a route or a service.
func explainPublished(s source, path string) ([]resolver.Value, error) {
	settings, err := s.published()
	if err != nil {
		return nil, err
	}
	inForce, ok := settings.Explain(path)
	if !ok {
		return nil, &resolver.Error{Op: "explain settings", Kind: resolver.KindNotFound, Err: fmt.Errorf("no route, address or service %q in version %d", path, settings.Version)}
	}
	return valuesOf(inForce), nil
}

// readPair reads two files of the same sort.
func readPair(before, after string) (older, newer source, err error) {
	if older, err = readSource(before); err != nil {
		return source{}, source{}, err
	}
	if newer, err = readSource(after); err != nil {
		return source{}, source{}, err
	}
	if older.isPublished() != newer.isPublished() {
		return source{}, source{}, errors.Newf("%s and %s are of two sorts: one is a tree, the other published settings", before, after)
	}
	return older, newer, nil
}

// comparePublished lists what a change does to flows.
func comparePublished(older, newer source) ([]steerer.Difference, error) {
	before, err := older.published()
	if err != nil {
		return nil, err
	}
	after, err := newer.published()
	if err != nil {
		return nil, err
	}
	return steerer.Compare(before, after), nil
}
