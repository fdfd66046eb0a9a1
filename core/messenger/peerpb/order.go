package peerpb

// NewerThan reports whether the relay reported this state after the other one.
// Both are from the same relay, whose sequence restarts with each incarnation.
func (x *TargetState) NewerThan(other *TargetState) bool {
	if x.GetIncarnation() != other.GetIncarnation() {
		return x.GetIncarnation() > other.GetIncarnation()
	}
	return x.GetSequence() > other.GetSequence()
}
