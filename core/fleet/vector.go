package fleet

// Vector holds an amount of each resource.
type Vector struct {
	// CPU is in thousandths of a core.
	CPU int64 `json:"cpu,omitempty"`
	// Mem is in MB.
	Mem int64 `json:"mem,omitempty"`
	// GPU counts accelerators.
	GPU int64 `json:"gpu,omitempty"`
}

// Add returns v plus w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.CPU + w.CPU, v.Mem + w.Mem, v.GPU + w.GPU}
}

// Sub returns v minus w.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.CPU - w.CPU, v.Mem - w.Mem, v.GPU - w.GPU}
}

// Times returns v multiplied by n.
func (v Vector) Times(n int64) Vector {
	return Vector{v.CPU * n, v.Mem * n, v.GPU * n}
}

// Max returns the larger of v and w, per resource.
func (v Vector) Max(w Vector) Vector {
	return Vector{max(v.CPU, w.CPU), max(v.Mem, w.Mem), max(v.GPU, w.GPU)}
}

// Min returns the smaller of v and w, per resource.
func (v Vector) Min(w Vector) Vector {
	return Vector{min(v.CPU, w.CPU), min(v.Mem, w.Mem), min(v.GPU, w.GPU)}
}

// FitsIn reports whether no component of v exceeds that of capacity.
func (v Vector) FitsIn(capacity Vector) bool {
	return v.CPU <= capacity.CPU && v.Mem <= capacity.Mem && v.GPU <= capacity.GPU
}

// Within reports whether no component of v exceeds that of limit; a zero
// component of limit means no limit.
func (v Vector) Within(limit Vector) bool {
	return (limit.CPU == 0 || v.CPU <= limit.CPU) &&
		(limit.Mem == 0 || v.Mem <= limit.Mem) &&
		(limit.GPU == 0 || v.GPU <= limit.GPU)
}
