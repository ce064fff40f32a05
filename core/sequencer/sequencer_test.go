package sequencer_test

import (
	"cmp"
	"fmt"
	"testing"

	"cranberryspan.dev/core/sequencer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func ExamplePosition() {
	old, restored := sequencer.At(3, 500), sequencer.At(4, 460)
	fmt.Println(old.Before(restored), restored.WithRevision(520).ContinuesFrom(old))
	fmt.Println(old, sequencer.At(0, 500))
	// Output:
	// true false
	// 3/500 500
}

// Positions are ordered as pairs of an era and a revision, and only positions of one era
// continue from each other.
func TestPositionsOrderByEraThenRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.Uint64Range(0, 4)
		p := sequencer.At(small.Draw(t, "era"), small.Draw(t, "revision"))
		q := sequencer.At(small.Draw(t, "otherEra"), small.Draw(t, "otherRevision"))
		order := cmp.Compare(p.Era*10+p.Revision, q.Era*10+q.Revision)
		require.Equal(t, order, p.Compare(q))
		require.Equal(t, order < 0, p.Before(q))
		require.Equal(t, p.Later(q), q.Later(p))
		require.False(t, p.Later(q).Before(p))
		require.Equal(t, p.Era == q.Era && q.Revision != 0, p.ContinuesFrom(q))
		require.Equal(t, p.Era, p.WithRevision(3).Era)
		require.False(t, p.WithRevision(3).Before(p))
	})
}

func TestPositionWithoutEraComparesByRevision(t *testing.T) {
	require.True(t, sequencer.At(0, 7).Before(sequencer.At(0, 8)))
	require.False(t, sequencer.Position{}.Known())
	require.True(t, sequencer.At(0, 1).Known())
}
