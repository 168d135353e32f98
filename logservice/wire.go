package logservice

import "galenastair"

// AppendResponse has the offset of an appended record.
type AppendResponse struct {
	Offset galenastair.Offset
}

// ReadResponse has the records of a read.
type ReadResponse struct {
	First   galenastair.Offset
	Next    galenastair.Offset
	Records []galenastair.LogRecord
}

// ListResponse has the list of instances, which may be some seconds old.
type ListResponse struct {
	Instances []galenastair.ListedInstance
}

// CatalogueResponse has the models and adapters of the weight store.
type CatalogueResponse struct {
	Weights []galenastair.ModelWeights
}
