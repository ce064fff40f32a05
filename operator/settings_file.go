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

// settingsFile is a file with settings: a settings tree, or settings as published on the
// platform.
type settingsFile struct {
	path     string
	document []byte
}

func readSettingsFile(path string) (settingsFile, error) {
	document, err := os.ReadFile(path)
	return settingsFile{path: path, document: document}, errors.Wrap(err, "read settings")
}

// isPublished reports whether the file contains published settings, which are a JSON object.
// Settings trees are by convention YAML mappings in block style.
func (s settingsFile) isPublished() bool {
	return bytes.HasPrefix(bytes.TrimSpace(s.document), []byte("{"))
}

func (s settingsFile) parseTree() (*resolver.Settings, error) {
	return resolver.Resolve(s.path, s.document)
}

func (s settingsFile) decodePublished() (*steerer.Settings, error) {
	settings, err := platform.DecodeSettings(s.document)
	return settings, errors.Wrapf(err, "%s", s.path)
}

// toValues converts the values in force for a published route or service to those of a
// settings tree.
func toValues(effective []steerer.EffectiveValue) []resolver.Value {
	values := make([]resolver.Value, 0, len(effective))
	for _, v := range effective {
		values = append(values, resolver.Value{Key: v.Key, Value: v.Value, Level: v.From})
	}
	return values
}

// explainPublished lists the values in force for a published route or service.
func explainPublished(s settingsFile, path string) ([]resolver.Value, error) {
	settings, err := s.decodePublished()
	if err != nil {
		return nil, err
	}
	effective, ok := settings.Explain(path)
	if !ok {
		return nil, &resolver.Error{Op: "explain settings", Kind: resolver.KindNotFound, Err: fmt.Errorf("no route, address or service %q in version %d", path, settings.Version)}
	}
	return toValues(effective), nil
}

// readSettingsPair reads two files of the same kind.
func readSettingsPair(before, after string) (older, newer settingsFile, err error) {
	if older, err = readSettingsFile(before); err != nil {
		return settingsFile{}, settingsFile{}, err
	}
	if newer, err = readSettingsFile(after); err != nil {
		return settingsFile{}, settingsFile{}, err
	}
	if older.isPublished() != newer.isPublished() {
		return settingsFile{}, settingsFile{}, errors.Newf("%s and %s can't be compared: one is a settings tree, the other published settings", before, after)
	}
	return older, newer, nil
}

// diffPublished lists the differences between two published versions and their effects on
// flows.
func diffPublished(older, newer settingsFile) ([]steerer.Difference, error) {
	before, err := older.decodePublished()
	if err != nil {
		return nil, err
	}
	after, err := newer.decodePublished()
	if err != nil {
		return nil, err
	}
	return steerer.Compare(before, after), nil
}
