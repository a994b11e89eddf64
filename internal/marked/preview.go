package marked

import (
	"slices"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mirror"
)

// addPreview adds a part of a snapshot that is being read. With parts of the first
// one, a host can serve before it has read the whole. This matters after a restart of
// all hosts, which then read the store at the same time.
func (c *control) addPreview(items []mirror.Item) {
	now := c.host.now()
	if c.replica.Loaded() {
		if c.applyEvacuations(now, items) {
			c.buildView(now)
		}
		return
	}
	c.previewItems = append(c.previewItems, items...)
	c.previewParts++
	if c.previewParts >= minPreviewParts {
		c.buildView(now)
	}
}

// applyEvacuations applies those of the items that are evacuations newer than the
// replica, and reports whether there are any: its state may come from a peer that has
// been cut off, and a read of the whole store may take longer than the bound of an
// evacuation.
func (c *control) applyEvacuations(now time.Duration, items []mirror.Item) bool {
	newer := slices.DeleteFunc(slices.Clone(items), func(i mirror.Item) bool {
		_, ok := c.host.settings.Decoder.Evacuation(i)
		return !ok || i.Revision <= c.replica.Revision()
	})
	return len(newer) > 0 && c.replica.ApplyChanges(now, newer, c.replica.Revision())
}

// forEachItem calls f for each item of the replica or, until it is loaded, of
// the preview.
func (c *control) forEachItem(f func(mirror.Item)) {
	if c.replica.Loaded() {
		c.previewItems = nil
		c.replica.ForEachItem(f)
		return
	}
	for _, i := range c.previewItems {
		f(i)
	}
}
