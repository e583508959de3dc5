package diverter

// MinSpan and MaxSpan are the minimum and the maximum duration of a diversion.
const (
	MinSpan = minSpan
	MaxSpan = maxSpan
)

// Coordinators returns the coordinator and the backup of the zone of the given routers.
var Coordinators = coordinators
