package stored

// HeadKey is the key of the row that names the latest revision.
var HeadKey = headKey
