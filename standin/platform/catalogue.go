package platform

import (
	"fmt"

	"galenastair"
)

// Catalogue returns models model-1, model-2 and so on, and adapters adapter-1, adapter-2
// and so on, which are assigned to the models round robin. All have version v1.
func Catalogue(models, adapters int, modelMemory, adapterMemory galenastair.Bytes) []galenastair.ModelWeights {
	var weights []galenastair.ModelWeights
	for i := range models {
		weights = append(weights, galenastair.ModelWeights{
			Name:    modelName(i),
			Version: "v1",
			Memory:  modelMemory,
		})
	}
	for i := range adapters {
		weights = append(weights, galenastair.ModelWeights{
			Name:    galenastair.ModelName(fmt.Sprintf("adapter-%d", i+1)),
			Version: "v1",
			Base:    modelName(i % models),
			Memory:  adapterMemory,
		})
	}
	return weights
}

func modelName(i int) galenastair.ModelName {
	return galenastair.ModelName(fmt.Sprintf("model-%d", i+1))
}
