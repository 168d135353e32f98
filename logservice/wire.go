package logservice

import "galenastair"

// AppendAnswer tells where a record was appended.
type AppendAnswer struct {
	Offset galenastair.Offset
}

// ReadAnswer holds the records of one read.
type ReadAnswer struct {
	First   galenastair.Offset
	Next    galenastair.Offset
	Records []galenastair.LogRecord
}

// ListAnswer holds the list of instances as of some moments ago.
type ListAnswer struct {
	Instances []galenastair.ListedInstance
}

// CatalogueAnswer holds the models and adapters of the weight store.
type CatalogueAnswer struct {
	Weights []galenastair.Weight
}
