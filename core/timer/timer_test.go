package timer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"jackdawcart.org/core/timer"
)

// A slow subscriber must receive one pending tick, not a burst of missed ones.
func TestSlowSubscriberSeesOneTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := timer.NewService()
		sub := s.Every(time.Second)
		defer sub.Stop()
		time.Sleep(5*time.Second + time.Millisecond)
		<-sub.C
		select {
		case <-sub.C:
			t.Fatal("a second tick was pending")
		default:
		}
	})
}

// A closed service must not send ticks to its subscribers.
func TestCloseStopsTicks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := timer.NewService()
		sub := s.Every(time.Second)
		late := s.After(2 * time.Second)
		s.Close()
		time.Sleep(10 * time.Second)
		select {
		case <-sub.C:
			t.Fatal("periodic tick after Close")
		case <-late.C:
			t.Fatal("single tick after Close")
		default:
		}
	})
}
