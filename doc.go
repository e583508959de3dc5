// Package masticway defines the interfaces to external systems and the immutable
// values that are passed between the packages of the fleet.
//
// The implementations of the interfaces are in subpackages, so that packages with
// decision logic depend on this package only and do no network I/O.
package masticway
