package marked

import (
	"testing"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// TestPreviewedEvacuationsStay guards against new flows to an evacuated data centre by
// a host that starts: it has read the evacuation, and gets older state from a peer
// that is cut off before its read ends.
func TestPreviewedEvacuationsStay(t *testing.T) {
	head := []mirror.Item{{Key: "op/evacuate/a", Revision: 3}, {Key: "op/evacuate/b", Revision: 1}}
	for name, steps := range map[string][]func(c *control){
		"state of a peer after the first part":  {func(c *control) { c.addPreview(head) }, func(c *control) { c.applyUpdate(oldState()) }},
		"state of a peer before the first part": {func(c *control) { c.applyUpdate(oldState()) }, func(c *control) { c.addPreview(head) }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newEmptyControl(t)
			for _, step := range steps {
				step(c)
			}
			v := c.host.published.Load().view
			is.Equal(v.Evacuated, map[string]bool{"a": true}) // The peer knows that the other one ended.
			is.Equal(len(v.Usable["desk"]), 0)
			is.Equal(c.replica.Version().Revision, uint64(2)) // The other changes up to revision 3 are missing.
		})
	}
}
