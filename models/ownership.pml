// Ownership of target connections: core/assigner.
// variants: NO_WAIT NO_HOLD_DOWN RELEASE_BEFORE_CLOSE ANY_RELEASE FULL_LIMIT
//
// The connection limit of one target is split into two portions, which behave
// alike, so one portion is modelled; its owner may open a quarter of the limit.
// Three relays join, crash and return. At any time at most two differing
// membership views are in use; each relay moves between them when it likes, so
// a paused or cut-off relay keeps its old view and its connections. Releases
// are lost, repeated and late.
//
// The limit holds under these rules: a new owner waits
// for the release of the owner among the other members of its view, and chooses
// it anew when its view changes; the release echoes the number of that wait; it
// is sent only after the connections are closed, and also by a relay that never
// opened any; if a member has vanished or there is no other, a hold-down must
// have ended as well.
//
// Checked: the connections of both portions never exceed the limit of the
// target. Of the time of the hold-down only this is assumed: connections that
// were being closed when it began are closed when it ends, since the deadline of
// a request in flight is shorter.

#define RELAYS 3
#define LIMIT 4
#ifdef FULL_LIMIT
#define QUARTER (LIMIT / 2)
#else
#define QUARTER (LIMIT / 4)
#endif
#define GONE 0
#define TURNS 3
#define VIEW_CHANGES 7

// core/assigner: rendezvous rank, here the relay's number.
#define in(r, w) (((w) >> (r)) & 1)
#define owner(w) (in(0, w) -> 0 : (in(1, w) -> 1 : 2))

mtype = { idle, waiting, holding, closing };

byte view[RELAYS];	// bit set of the members, GONE for a process that is down
mtype portion[RELAYS];
byte former[RELAYS];	// whose release a waiting relay needs
byte waits[RELAYS];	// number of the current wait, echoed by the release
byte draining[RELAYS];	// relays that were closing when the hold-down began
byte changes = 0;

// The release on its way from one relay to another, with the number of the wait
// that it answers, and the request that names the wait.
chan release = [2] of { byte, byte, byte };	// from, to, number
bool asked[9];
byte asked_number[9];

#define differing() (view[0] != GONE && view[1] != GONE && view[2] != GONE && view[0] != view[1] && view[1] != view[2] && view[0] != view[2])

inline start_hold_down(me) {
	draining[me] = (portion[0] == closing) | ((portion[1] == closing) << 1) | ((portion[2] == closing) << 2);
	draining[me] = draining[me] & ~(1 << me)
}

inline closed(r) {
	draining[0] = draining[0] & ~(1 << r);
	draining[1] = draining[1] & ~(1 << r);
	draining[2] = draining[2] & ~(1 << r)
}

inline count() {
	assert(2 * QUARTER * ((portion[0] == holding || portion[0] == closing) +
		(portion[1] == holding || portion[1] == closing) +
		(portion[2] == holding || portion[2] == closing)) <= LIMIT)
}

// The former owner is the owner among the other members; none if alone.
inline wait(me, w) {
	former[me] = owner(w & ~(1 << me));
	if :: (w & ~(1 << me)) == 0 -> former[me] = me :: else fi;
	if :: waits[me] < TURNS -> waits[me]++ :: else fi;
	// A member has vanished, or there is no other: begin a hold-down.
	if
	:: (view[me] & ~w) != 0 || former[me] == me -> start_hold_down(me)
	:: else
	fi
}

// core/assigner: a new view of the membership. A relay that still waits waits
// for the former owner in the new view, and begins the hold-down anew.
inline change(me, w) {
	if
	:: owner(w) == me && portion[me] == idle -> portion[me] = waiting; draining[me] = 0; wait(me, w)
	:: owner(w) == me && portion[me] == waiting -> wait(me, w)
	:: owner(w) == me && portion[me] == closing -> portion[me] = holding; closed(me)
	:: owner(w) != me && portion[me] == waiting -> portion[me] = idle
	:: owner(w) != me && portion[me] == holding -> portion[me] = closing
	:: else
	fi;
	view[me] = w
}

proctype Relay(byte me) {
	byte w;
	byte from;
	byte number;

end:	do
	// The membership view changes. At most two differing views are in use.
	:: atomic {
		changes < VIEW_CHANGES && view[me] != GONE && waits[me] < TURNS ->
		changes++;
		if :: w = 1 :: w = 2 :: w = 3 :: w = 4 :: w = 5 :: w = 6 :: w = 7 fi;
		if
		:: in(me, w) ->
			from = view[me]; view[me] = w;
			if
			:: differing() -> view[me] = from
			:: else -> view[me] = from; change(me, w)
			fi
		:: else
		fi;
		w = 0; from = 0
	   }
	// core/assigner: the new owner asks the former one for its release.
	:: atomic {
		portion[me] == waiting && former[me] != me ->
		asked[former[me] * RELAYS + me] = true;
		asked_number[former[me] * RELAYS + me] = waits[me]
	   }
#ifdef NO_WAIT
	:: atomic { portion[me] == waiting -> portion[me] = holding; count() }
#endif
	// core/assigner: the former owner has released or there is none, and the
	// hold-down, if one was begun, has ended.
	:: atomic {
		portion[me] == waiting && former[me] == me &&
#ifndef NO_HOLD_DOWN
		draining[me] == 0 &&
#endif
		true ->
		portion[me] = holding; count()
	   }
	// The last request in flight has ended and the connections are closed.
	:: atomic { portion[me] == closing -> portion[me] = idle; closed(me) }
	// core/assigner: a relay without connections, which does not own the
	// portion in its view either, releases it.
	:: atomic {
		view[me] != GONE &&
#ifndef RELEASE_BEFORE_CLOSE
		portion[me] == idle &&
#else
		(portion[me] == idle || portion[me] == closing) &&
#endif
		nfull(release) ->
		if
		:: asked[me * RELAYS] && owner(view[me]) == 0 -> release!me, 0, asked_number[me * RELAYS]
		:: asked[me * RELAYS + 1] && owner(view[me]) == 1 -> release!me, 1, asked_number[me * RELAYS + 1]
		:: asked[me * RELAYS + 2] && owner(view[me]) == 2 -> release!me, 2, asked_number[me * RELAYS + 2]
		:: else
		fi
	   }
	// core/assigner: a release arrives, perhaps repeatedly, or is lost.
	:: atomic {
		release ?? [_, eval(me), _] ->
		if
		:: release ?? from, eval(me), number
		:: release ?? <from, eval(me), number>
		fi;
		if
#ifndef ANY_RELEASE
		:: portion[me] == waiting && from == former[me] && number == waits[me] ->
#else
		:: portion[me] == waiting && from == former[me] ->
#endif
			former[me] = me
		:: else
		fi;
		from = 0; number = 0
	   }
	// A crash closes the connections; the process returns with a view.
	:: atomic {
		changes < VIEW_CHANGES && view[me] != GONE ->
		changes++; view[me] = GONE; portion[me] = idle; closed(me)
	   }
	:: atomic {
		changes < VIEW_CHANGES && view[me] == GONE && waits[me] < TURNS ->
		changes++;
		if :: w = 1 << me :: w = 3 :: w = 5 :: w = 6 :: w = 7 fi;
		if
		:: in(me, w) ->
			view[me] = w;
			if
			:: differing() -> view[me] = GONE
			:: else -> change(me, w)
			fi
		:: else
		fi;
		w = 0
	   }
	od
}

init {
	atomic {
		portion[0] = idle; portion[1] = idle; portion[2] = holding;
		view[0] = GONE; view[1] = GONE; view[2] = 4;
		run Relay(0); run Relay(1); run Relay(2)
	}
}
