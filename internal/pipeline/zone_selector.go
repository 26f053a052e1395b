package pipeline

// ZoneSelector allows a single zone or any zone. The zero value allows any zone.
type ZoneSelector struct {
	zone   int32
	single bool
}

// OnlyZone returns a selector that allows a single zone.
func OnlyZone(zone ZoneIndex) ZoneSelector { return ZoneSelector{zone: int32(zone), single: true} }

// IsSingle reports whether the selector allows a single zone.
func (z ZoneSelector) IsSingle() bool { return z.single }

// Allows reports whether a zone is allowed.
func (z ZoneSelector) Allows(zone ZoneIndex) bool { return !z.single || ZoneIndex(z.zone) == zone }
