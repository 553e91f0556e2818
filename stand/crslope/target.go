package crslope

// The sizes of the target.
const (
	targetDaemons   = 780
	targetEndpoints = 6_100
	targetServices  = 17
	targetDomains   = 13
	targetRegions   = 5
	targetAccounts  = 14_000
	targetChats     = 9_900_000
	targetRequests  = 62_000
	targetChanges   = 6_300
	targetRestarts  = 600

	secondsPerDay = 24 * 60 * 60
)

// What one daemon has of the target.
const (
	endpointsPerDaemon = float64(targetEndpoints) / targetDaemons
	chatsPerDaemon     = targetChats / targetDaemons
	chatsPerEndpoint   = targetChats / targetEndpoints
	requestsPerDaemon  = float64(targetRequests) / targetDaemons
)

// The budgets of one daemon's control, of the catalogue, and of the platform's
// store.
const (
	controlBudget  = 5_000
	coreBudget     = 3.5
	memoryBudget   = 128e6
	inForceBudget  = 5.0
	readsPerSecond = 2_000
	// writesPerSecond stands for the several hundred that the users name.
	writesPerSecond = 400
)

// Sizes of a daemon's execution tokens at the target.
const (
	// tokenSeconds is how long a token and its outcome are kept with the
	// default settings: the address lifetime, the grace after it and the
	// outcome lifetime.
	tokenSeconds = 10 + 5*60 + 10*60
	// targetTokens is the count when every request has one.
	targetTokens = targetRequests * tokenSeconds / targetDaemons
)
