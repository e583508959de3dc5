package follower

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
)

// zoneReturn is the end of an operator's order to send a zone's servers nothing.
type zoneReturn struct {
	// at is when this router heard of it, version that of the row's end.
	at      time.Time
	version int64
}

// Evacuate takes rows of the operator's table; a whole reading has all of them. It names the zones that were emptied and
// those that were taken back.
func (r *Register) Evacuate(now time.Time, whole bool, reading masticway.RowReading) (emptied, back []string) {
	present := map[string]bool{}
	for _, row := range reading.Rows {
		zone, ok := r.decoder.EvacuatedZone(row.RowKey)
		if !ok {
			continue
		}
		if !row.Deleted {
			present[zone] = true
		}
		if row.Version <= max(r.evacuated[zone], r.takenBack[zone].version) {
			continue
		}
		_, was := r.evacuated[zone]
		switch {
		case !row.Deleted && !was:
			emptied = append(emptied, zone)
		case row.Deleted && was:
			back = append(back, zone)
		}
		if row.Deleted {
			r.takeBack(now, zone, row.Version)
			continue
		}
		r.evacuated[zone] = row.Version
	}
	if !whole {
		return emptied, back
	}
	for zone, version := range r.evacuated {
		if !present[zone] && version <= reading.Version {
			back = append(back, zone)
			r.takeBack(now, zone, reading.Version)
		}
	}
	return emptied, back
}

// takeBack ends an order, if there is one, and remembers when.
func (r *Register) takeBack(now time.Time, zone string, version int64) {
	delete(r.evacuated, zone)
	r.takenBack[zone] = zoneReturn{at: now, version: version}
}

// evacuate takes the operator's orders about zones.
func (f *Follower) evacuate(whole bool, reading masticway.RowReading) {
	f.update(func(now time.Time) bool {
		emptied, back := f.register.Evacuate(now, whole, reading)
		for _, zone := range emptied {
			f.log.WithFields(f.zoneFields("zone_evacuated", zone, reading)).Info("servers of a zone get nothing new")
		}
		for _, zone := range back {
			f.log.WithFields(f.zoneFields("zone_back", zone, reading)).Info("servers of a zone may get work again")
		}
		f.metrics.Gauge(metricEvacuated, int64(len(f.register.evacuated)))
		return len(emptied)+len(back) > 0
	})
}

func (f *Follower) zoneFields(event, zone string, reading masticway.RowReading) logrus.Fields {
	return logrus.Fields{
		"event": event, "zone": zone, "row_version": max(f.register.evacuated[zone], f.register.takenBack[zone].version),
		"store_version": reading.Version,
	}
}
