package starter

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/masticway/masticway"
	"github.com/masticway/masticway/emulator"
)

// EmulatorSettings is the content of the emulator's settings file.
type EmulatorSettings struct {
	PlatformAddress string               `json:"platform_address"`
	InstanceLag     masticway.Duration   `json:"instance_lag"`
	Instances       []masticway.Instance `json:"instances"`
	Engines         []EngineSettings     `json:"engines"`
	Services        []ServiceSettings    `json:"services"`
	LogLevel        string               `json:"log_level"`
}

// EngineSettings configures one emulated model engine.
type EngineSettings struct {
	Address      string             `json:"address"`
	Capacity     int                `json:"capacity"`
	PrefillTime  masticway.Duration `json:"prefill_time"`
	TokenTime    masticway.Duration `json:"token_time"`
	CacheBlocks  int                `json:"cache_blocks"`
	ReportLag    masticway.Duration `json:"report_lag"`
	IgnoreFences bool               `json:"ignore_fences"`
}

// ServiceSettings configures one emulated plain service.
type ServiceSettings struct {
	Address string `json:"address"`
}

// EmulatorDaemon runs an emulated platform and emulated upstreams (model engines and plain services).
type EmulatorDaemon struct {
	servers serverGroup
}

// StartEmulator starts the emulated platform, engines and services of the settings.
func StartEmulator(s EmulatorSettings, log *logrus.Logger) (*EmulatorDaemon, error) {
	d := &EmulatorDaemon{}
	d.servers.log = log
	if err := d.start(s); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *EmulatorDaemon) start(s EmulatorSettings) error {
	platform := emulator.NewPlatform(s.InstanceLag.Std())
	for _, i := range s.Instances {
		platform.Instances.Set(i)
	}
	if err := d.serve(s.PlatformAddress, platform.Handler()); err != nil {
		return err
	}
	for _, e := range s.Engines {
		engine := emulator.NewEngine(emulator.EngineSettings{
			Capacity: e.Capacity, PrefillTime: e.PrefillTime.Std(), TokenTime: e.TokenTime.Std(),
			CacheBlocks: e.CacheBlocks, ReportLag: e.ReportLag.Std(), IgnoreFences: e.IgnoreFences,
		})
		if err := d.serve(e.Address, engine.Handler()); err != nil {
			return err
		}
	}
	for _, v := range s.Services {
		if err := d.serve(v.Address, emulator.NewService().Handler()); err != nil {
			return err
		}
	}
	return nil
}

func (d *EmulatorDaemon) serve(address string, h http.Handler) error {
	l, err := Listen(address)
	if err != nil {
		return err
	}
	d.servers.serve(l, h)
	return nil
}

// Close stops all emulated servers.
func (d *EmulatorDaemon) Close() { d.servers.close() }

// mergeSettings returns a copy of the JSON object base in which the fields of the JSON object overrides replace or extend the
// top-level fields.
func mergeSettings(base, overrides json.RawMessage) (json.RawMessage, error) {
	if len(overrides) == 0 {
		return base, nil
	}
	var fields, changes map[string]json.RawMessage
	if err := json.Unmarshal(base, &fields); err != nil {
		return nil, fmt.Errorf("decoding settings: %w", err)
	}
	if err := json.Unmarshal(overrides, &changes); err != nil {
		return nil, fmt.Errorf("decoding settings overrides: %w", err)
	}
	for name, value := range changes {
		fields[name] = value
	}
	return json.Marshal(fields)
}
