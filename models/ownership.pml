// Ownership of target connections: core/assigner.
// variants: NO_WAIT NO_HOLD_DOWN RELEASE_BEFORE_CLOSE ANY_RELEASE FULL_LIMIT
//
// The connection limit of one target is split into two portions, which behave
// alike, so one portion is modelled; its owner may open a quarter of the limit.
// Three relays join, crash and restart. At any time at most two different
// membership views are in use. A relay changes its view at any time, so a paused
// or partitioned relay keeps its old view and its connections. Releases may be
// lost, duplicated and delayed.
//
// The limit holds under these rules. A new owner waits for a release by the
// member that would be the owner without it, and determines that member again
// when its view changes. The release echoes the number of that wait. A relay
// sends a release only after its connections are closed, and also if it never
// opened any. If a member has left the view or there is no other member, a
// hold-down must have ended as well.
//
// Checked: the connections of both portions never exceed the limit of the
// target. The only assumption about the length of the hold-down is that
// connections that were being closed at its start are closed at its end, since
// the deadline of a request in flight is shorter.

#define RELAYS 3
#define LIMIT 4
#ifdef FULL_LIMIT
#define ALLOTMENT (LIMIT / 2)
#else
#define ALLOTMENT (LIMIT / 4)
#endif
#define DOWN 0
#define MAX_WAITS 3
#define MAX_VIEW_CHANGES 7

// core/assigner: the rank of rendezvous hashing, here the relay's number.
#define is_member(r, w) (((w) >> (r)) & 1)
#define owner(w) (is_member(0, w) -> 0 : (is_member(1, w) -> 1 : 2))

mtype = { idle, waiting, owning, draining };

byte view[RELAYS];	// bit set of the members, DOWN for a process that is down
mtype portion[RELAYS];
byte awaited[RELAYS];	// relay whose release a waiting relay needs; itself if none
byte wait_number[RELAYS];	// number of the current wait, echoed by the release
byte draining_at_start[RELAYS];	// bit set of the relays draining since before the hold-down
byte view_changes = 0;

// Releases in transit, each with the number of the wait that it answers, and the
// last request from each relay to each other one, with the number of its wait.
chan release = [2] of { byte, byte, byte };	// from, to, number
bool requested[9];
byte requested_wait[9];

#define all_differ() (view[0] != DOWN && view[1] != DOWN && view[2] != DOWN && view[0] != view[1] && view[1] != view[2] && view[0] != view[2])

inline start_hold_down(me) {
	draining_at_start[me] = (portion[0] == draining) | ((portion[1] == draining) << 1) | ((portion[2] == draining) << 2);
	draining_at_start[me] = draining_at_start[me] & ~(1 << me)
}

inline record_closed(r) {
	draining_at_start[0] = draining_at_start[0] & ~(1 << r);
	draining_at_start[1] = draining_at_start[1] & ~(1 << r);
	draining_at_start[2] = draining_at_start[2] & ~(1 << r)
}

inline check_limit() {
	assert(2 * ALLOTMENT * ((portion[0] == owning || portion[0] == draining) +
		(portion[1] == owning || portion[1] == draining) +
		(portion[2] == owning || portion[2] == draining)) <= LIMIT)
}

// The release awaited is that of the owner among the other members, if any.
inline start_wait(me, w) {
	awaited[me] = owner(w & ~(1 << me));
	if :: (w & ~(1 << me)) == 0 -> awaited[me] = me :: else fi;
	if :: wait_number[me] < MAX_WAITS -> wait_number[me]++ :: else fi;
	// A member has left the view, or there is no other: start a hold-down.
	if
	:: (view[me] & ~w) != 0 || awaited[me] == me -> start_hold_down(me)
	:: else
	fi
}

// Assigner.SetView: a new membership view. A relay that is still waiting awaits
// the release of the owner among the other members of the new view, and restarts
// the hold-down if a member has left or there is no other.
inline apply_view(me, w) {
	if
	:: owner(w) == me && portion[me] == idle -> portion[me] = waiting; draining_at_start[me] = 0; start_wait(me, w)
	:: owner(w) == me && portion[me] == waiting -> start_wait(me, w)
	:: owner(w) == me && portion[me] == draining -> portion[me] = owning; record_closed(me)
	:: owner(w) != me && portion[me] == waiting -> portion[me] = idle
	:: owner(w) != me && portion[me] == owning -> portion[me] = draining
	:: else
	fi;
	view[me] = w
}

proctype Relay(byte me) {
	byte w;
	byte from;
	byte number;

end:	do
	// The membership view changes. At most two different views are in use.
	:: atomic {
		view_changes < MAX_VIEW_CHANGES && view[me] != DOWN && wait_number[me] < MAX_WAITS ->
		view_changes++;
		if :: w = 1 :: w = 2 :: w = 3 :: w = 4 :: w = 5 :: w = 6 :: w = 7 fi;
		if
		:: is_member(me, w) ->
			from = view[me]; view[me] = w;
			if
			:: all_differ() -> view[me] = from
			:: else -> view[me] = from; apply_view(me, w)
			fi
		:: else
		fi;
		w = 0; from = 0
	   }
	// Assigner.requestRelease: the new owner requests the awaited release.
	:: atomic {
		portion[me] == waiting && awaited[me] != me ->
		requested[awaited[me] * RELAYS + me] = true;
		requested_wait[awaited[me] * RELAYS + me] = wait_number[me]
	   }
#ifdef NO_WAIT
	:: atomic { portion[me] == waiting -> portion[me] = owning; check_limit() }
#endif
	// Assigner.finishWait: the awaited release was received or there is none, and
	// the hold-down, if one was started, has ended.
	:: atomic {
		portion[me] == waiting && awaited[me] == me &&
#ifndef NO_HOLD_DOWN
		draining_at_start[me] == 0 &&
#endif
		true ->
		portion[me] = owning; check_limit()
	   }
	// The last request in flight has ended and the connections are closed.
	:: atomic { portion[me] == draining -> portion[me] = idle; record_closed(me) }
	// Assigner.sendRelease: a relay that has no connections and is not the owner
	// in its view releases the portion.
	:: atomic {
		view[me] != DOWN &&
#ifndef RELEASE_BEFORE_CLOSE
		portion[me] == idle &&
#else
		(portion[me] == idle || portion[me] == draining) &&
#endif
		nfull(release) ->
		if
		:: requested[me * RELAYS] && owner(view[me]) == 0 -> release!me, 0, requested_wait[me * RELAYS]
		:: requested[me * RELAYS + 1] && owner(view[me]) == 1 -> release!me, 1, requested_wait[me * RELAYS + 1]
		:: requested[me * RELAYS + 2] && owner(view[me]) == 2 -> release!me, 2, requested_wait[me * RELAYS + 2]
		:: else
		fi
	   }
	// Assigner.onRelease: a release is received, possibly more than once, or is
	// lost.
	:: atomic {
		release ?? [_, eval(me), _] ->
		if
		:: release ?? from, eval(me), number
		:: release ?? <from, eval(me), number>
		fi;
		if
#ifndef ANY_RELEASE
		:: portion[me] == waiting && from == awaited[me] && number == wait_number[me] ->
#else
		:: portion[me] == waiting && from == awaited[me] ->
#endif
			awaited[me] = me
		:: else
		fi;
		from = 0; number = 0
	   }
	// A crash closes the connections; the process restarts with some view.
	:: atomic {
		view_changes < MAX_VIEW_CHANGES && view[me] != DOWN ->
		view_changes++; view[me] = DOWN; portion[me] = idle; record_closed(me)
	   }
	:: atomic {
		view_changes < MAX_VIEW_CHANGES && view[me] == DOWN && wait_number[me] < MAX_WAITS ->
		view_changes++;
		if :: w = 1 << me :: w = 3 :: w = 5 :: w = 6 :: w = 7 fi;
		if
		:: is_member(me, w) ->
			view[me] = w;
			if
			:: all_differ() -> view[me] = DOWN
			:: else -> apply_view(me, w)
			fi
		:: else
		fi;
		w = 0
	   }
	od
}

init {
	atomic {
		portion[0] = idle; portion[1] = idle; portion[2] = owning;
		view[0] = DOWN; view[1] = DOWN; view[2] = 4;
		run Relay(0); run Relay(1); run Relay(2)
	}
}
