package peerpb

// NewerThan reports whether the same relay wrote this state after another one.
// A restarted relay counts its reports from the start.
func (x *TargetState) NewerThan(other *TargetState) bool {
	if x.GetIncarnation() != other.GetIncarnation() {
		return x.GetIncarnation() > other.GetIncarnation()
	}
	return x.GetSequence() > other.GetSequence()
}
