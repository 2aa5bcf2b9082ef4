package members

// AllRecordVersions reports whether every daemon that has ever run in this system belongs to a build
// that records the software versions of engines. It is known once this process has registered and the
// store has confirmed its list. It is false if this process cannot tell: rows of members were removed
// before, or its machine had a row.
func (l *List) AllRecordVersions() (all, isKnown bool) {
	if l.localStatus.registeredAt.Load() == 0 || l.localStatus.lastConfirmed.Load() == 0 {
		return false, false
	}
	if !l.localStatus.isNewcomer.Load() {
		return false, true
	}
	for _, member := range l.View().Members {
		if member.Process.Machine != l.self.Process.Machine && !member.RecordsVersions {
			return false, true
		}
	}
	return true, true
}
