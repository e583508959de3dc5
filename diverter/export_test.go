package diverter

// Coordinators exports coordinators for the simulation.
var Coordinators = coordinators
