package diverter

// Coordinators returns the coordinator and the backup of the zone of the given routers.
var Coordinators = coordinators
