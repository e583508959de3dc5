package follower

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// lostOrderTTL is how long an order stays in force that the store has lost with an earlier era.
const lostOrderTTL = 5 * time.Second

// zoneReopening is the end of an operator's order to evacuate an availability zone.
type zoneReopening struct {
	// at is when this router learned of the reopening. version is the store version at which the row of the order was gone.
	at      time.Time
	version int64
}

// UpdateEvacuations applies the evacuation orders in a reading of the operator's table. If full is set, the reading holds all
// rows, and the orders that are not in it end. UpdateEvacuations returns the zones that became evacuated and those that were
// reopened. A zone can be in both.
func (r *Registry) UpdateEvacuations(now time.Time, full bool, reading masticway.RowReading) (evacuated, reopened []string) {
	present := map[string]bool{}
	for _, row := range reading.Rows {
		zone, ok := r.decoder.EvacuatedZone(row.RowKey)
		if !ok {
			continue
		}
		if !row.Deleted {
			present[zone] = true
		}
		if row.Version <= max(r.evacuations[zone], r.reopenings[zone].version) {
			continue
		}
		_, wasEvacuated := r.evacuations[zone]
		switch {
		case !row.Deleted && !wasEvacuated:
			evacuated = append(evacuated, zone)
		case row.Deleted && wasEvacuated:
			reopened = append(reopened, zone)
		}
		if row.Deleted {
			r.reopenZone(now, zone, row.Version)
			continue
		}
		r.evacuations[zone] = row.Version
	}
	if !full {
		return evacuated, reopened
	}
	r.recordEra(now, reading.Version)
	for zone, version := range r.evacuations {
		if masticway.StoreEra(version) < r.era && now.Sub(r.eraSince) < lostOrderTTL {
			// The operator writes the order again.
			continue
		}
		if !present[zone] && version <= reading.Version {
			reopened = append(reopened, zone)
			r.reopenZone(now, zone, reading.Version)
		}
	}
	return evacuated, reopened
}

// reopenZone ends a zone's evacuation order, if there is one, and records the time and the store version.
func (r *Registry) reopenZone(now time.Time, zone string, version int64) {
	delete(r.evacuations, zone)
	r.reopenings[zone] = zoneReopening{at: now, version: version}
}

// applyEvacuations applies the evacuation orders in a read of the operator's table and logs the zones that they change.
func (f *Follower) applyEvacuations(full bool, reading masticway.RowReading) {
	f.update(func(now time.Time) bool {
		evacuated, reopened := f.registry.UpdateEvacuations(now, full, reading)
		for _, zone := range evacuated {
			f.log.WithFields(f.zoneFields("zone_evacuated", zone, reading)).Info("servers of an availability zone get no new work")
		}
		for _, zone := range reopened {
			f.log.WithFields(f.zoneFields("zone_back", zone, reading)).Info("servers of an availability zone may get new work again")
		}
		f.metrics.Gauge(metricEvacuated, int64(len(f.registry.evacuations)))
		return len(evacuated)+len(reopened) > 0
	})
}

func (f *Follower) zoneFields(event, zone string, reading masticway.RowReading) logrus.Fields {
	return logrus.Fields{
		"event": event, "zone": zone, "row_version": max(f.registry.evacuations[zone], f.registry.reopenings[zone].version),
		"store_version": reading.Version,
	}
}
