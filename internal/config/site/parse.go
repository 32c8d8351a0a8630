package site

import (
	"github.com/cicadamill/cicadamill/internal/config/text"
)

// Parse reads a configuration text: JSON with comments and trailing commas. It
// is strict; the error is a [*text.Error] that lists all that is wrong, and
// then nothing of the text may be applied.
//
//	config, err := site.Parse([]byte(`{"site": "ashaiman", /* … */}`))
func Parse(source []byte) (Config, error) {
	var config Config
	document := text.Read("configuration", source, &config)
	if document.Sound() {
		check(document, config)
	}
	if err := document.Err(); err != nil {
		return Config{}, err
	}
	return config, nil
}

// checker looks for what is wrong with the meaning of a configuration.
type checker struct {
	*text.Document
	dataCentres  names
	models       names
	engines      names
	applications names
	services     names
	needs        names
	addresses    map[string]string
}

func check(document *text.Document, config Config) {
	c := &checker{Document: document, addresses: map[string]string{}}
	c.name("site", config.Site)
	c.weights(config.Weights)
	c.collect(config)
	c.checkModels(config.Models)
	c.checkEngines(config)
	c.checkStores(config)
	c.checkApplications(config)
	c.checkServices(config.Services)
	c.checkCycles(config.Services)
	c.checkWorkspaces(config.Workspaces)
}

// collect gathers every name that can be referred to, and reports duplicates.
func (c *checker) collect(config Config) {
	c.dataCentres = newNames("data centre")
	regions := newNames("region")
	for i, region := range config.Regions {
		c.define(regions, index("regions", i)+".name", region.Name)
		for j, dataCentre := range region.DataCentres {
			c.define(c.dataCentres, index(index("regions", i)+".dataCentres", j), dataCentre)
		}
	}
	if len(c.dataCentres.paths) == 0 {
		c.Add("regions", "names no data centre", "list at least one region with its data centres")
	}
	c.models = newNames("model")
	for i, model := range config.Models {
		c.define(c.models, index("models", i)+".name", model.Name)
	}
	c.engines = newNames("engine")
	for i, engine := range config.Engines {
		c.define(c.engines, index("engines", i)+".name", engine.Name)
	}
	c.collectNeeds(config)
}

// collectNeeds gathers applications, services and stores. They share their
// names, because dependsOn refers to any of them.
func (c *checker) collectNeeds(config Config) {
	c.needs = newNames("application, service or store")
	c.applications = newNames("application")
	for i, application := range config.Applications {
		path := index("applications", i) + ".name"
		c.define(c.needs, path, application.Name)
		c.applications.paths[application.Name] = path
	}
	c.services = newNames("service")
	for i, service := range config.Services {
		path := index("services", i) + ".name"
		c.define(c.needs, path, service.Name)
		c.services.paths[service.Name] = path
	}
	if config.KVStore != nil {
		c.define(c.needs, "kvStore.name", config.KVStore.Name)
	}
}
