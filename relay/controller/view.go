package controller

import (
	"slices"
	"time"

	"jackdawcart.org/core/messenger/peerpb"
)

// View is a snapshot of the control state.
type View struct {
	Members   []*peerpb.Member
	Documents []*peerpb.Document
	Revision  uint64
	// Age is the time since the store last confirmed the configuration.
	// Confirmed is false if the store has never confirmed it.
	Age       time.Duration
	Confirmed bool
	Reader    bool
}

// View returns the current control state. It is empty once the loop has ended.
func (c *Controller) View() View {
	var view View
	c.runInLoop(func(now time.Time) {
		for _, m := range c.detector.Members() {
			view.Members = append(view.Members, m.Proto())
		}
		view.Documents = c.distributor.AllDocuments()
		view.Revision = c.distributor.StoreRevision()
		view.Age, view.Confirmed = c.distributor.Age(now).Get()
		view.Reader = slices.Contains(c.distributor.Readers(), c.config.Settings.Node)
	})
	return view
}
