package site

import (
	"github.com/cicadamill/cicadamill/internal/config/jsonc"
)

// Parse reads a configuration text: JSON with comments and trailing commas. It
// rejects unknown and duplicate fields. The error is a [*jsonc.Error] that lists
// all issues; the configuration is then empty.
//
//	config, err := site.Parse([]byte(`{"site": "ashaiman", /* … */}`))
func Parse(source []byte) (Config, error) {
	var config Config
	document := jsonc.Decode("configuration", source, &config)
	if document.Parsed() {
		check(document, config)
	}
	if err := document.Err(); err != nil {
		return Config{}, err
	}
	return config, nil
}

// checker validates the meaning of a configuration whose syntax and types are valid.
type checker struct {
	*jsonc.Document
	dataCentres  definitions
	models       definitions
	engines      definitions
	applications definitions
	services     definitions
	dependencies definitions
	addresses    map[string]string
}

func check(document *jsonc.Document, config Config) {
	c := &checker{Document: document, addresses: map[string]string{}}
	c.checkName("site", config.Site)
	c.checkWeights(config.Weights)
	c.collectNames(config)
	c.checkModels(config.Models)
	c.checkEngines(config)
	c.checkStores(config)
	c.checkApplications(config)
	c.checkServices(config.Services)
	c.checkCycles(config.Services)
	c.checkWorkspaces(config.Workspaces)
}

// collectNames records all defined names and reports duplicates.
func (c *checker) collectNames(config Config) {
	c.dataCentres = newDefinitions("data centre")
	regions := newDefinitions("region")
	for i, region := range config.Regions {
		c.define(regions, index("regions", i)+".name", region.Name)
		for j, dataCentre := range region.DataCentres {
			c.define(c.dataCentres, index(index("regions", i)+".dataCentres", j), dataCentre)
		}
	}
	if len(c.dataCentres.paths) == 0 {
		c.Add("regions", "names no data centre", "list at least one region with its data centres")
	}
	c.models = newDefinitions("model")
	for i, model := range config.Models {
		c.define(c.models, index("models", i)+".name", model.Name)
	}
	c.engines = newDefinitions("engine")
	for i, engine := range config.Engines {
		c.define(c.engines, index("engines", i)+".name", engine.Name)
	}
	c.collectDependencies(config)
}

// collectDependencies records the names of applications, services and stores. They
// share one namespace, because dependsOn can refer to any of them.
func (c *checker) collectDependencies(config Config) {
	c.dependencies = newDefinitions("application, service or store")
	c.applications = newDefinitions("application")
	for i, application := range config.Applications {
		path := index("applications", i) + ".name"
		c.define(c.dependencies, path, application.Name)
		c.applications.paths[application.Name] = path
	}
	c.services = newDefinitions("service")
	for i, service := range config.Services {
		path := index("services", i) + ".name"
		c.define(c.dependencies, path, service.Name)
		c.services.paths[service.Name] = path
	}
	if config.KVStore != nil {
		c.define(c.dependencies, "kvStore.name", config.KVStore.Name)
	}
}
