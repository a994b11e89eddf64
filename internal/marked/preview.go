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
	if !c.restartPreview(items) {
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
// evacuation. Items of another era are left to the snapshot that follows.
func (c *control) applyEvacuations(now time.Duration, items []mirror.Item) bool {
	version := c.replica.Version()
	newer := slices.DeleteFunc(slices.Clone(items), func(i mirror.Item) bool {
		_, ok := c.host.settings.Decoder.Evacuation(i)
		return !ok || i.Era != version.Era || i.Revision <= version.Revision
	})
	if len(newer) == 0 {
		return false
	}
	changed, err := c.replica.ApplyChanges(now, newer, version)
	return err == nil && changed
}

// forEachItem calls f for each item of the replica or, until it is loaded, of
// the preview.
func (c *control) forEachItem(f func(mirror.Item)) {
	if c.replica.Loaded() {
		c.previewItems = nil
		c.replica.ForEachItem(f)
		return
	}
	if c.replica.Remembers() {
		c.replica.Preview(c.host.now(), c.previewItems).ForEachItem(f)
		return
	}
	for _, i := range c.previewItems {
		f(i)
	}
}
