/** Intervals, timeouts and limits of membership. */
export type MembershipParameters = {
	/** Interval of ticks while packets wait for the byte budget or a leave waits for its answers. */
	readonly tickIntervalMilliseconds: number;
	/** Longest time without a tick; well below the pause threshold. */
	readonly maximumTickIntervalMilliseconds: number;
	readonly probeIntervalMilliseconds: number;
	/** Time to wait for a direct answer before peers are asked for indirect probes. */
	readonly probeTimeoutMilliseconds: number;
	/** Share of the rounds of probes in which a member of another region is probed. */
	readonly remoteProbeShare: number;
	/** Number of peers asked to probe a member that did not answer directly. */
	readonly indirectProbes: number;
	/** Suspicion timeout in probe intervals, for each factor of ten in the number of members. */
	readonly suspicionMultiplier: number;
	readonly gossipIntervalMilliseconds: number;
	/** Number of peers that receive rumours in each gossip interval. */
	readonly gossipFanout: number;
	/**
	 * Times each rumour is sent beyond the natural logarithm of the number of members. Each one
	 * lowers the probability that some member is missed by a factor of e.
	 */
	readonly extraTransmissions: number;
	/** Send rate limit, including UDP and IP headers. */
	readonly bytesPerSecond: number;
	/** Capacity of the token bucket: bytes that may be sent at once. */
	readonly burstBytes: number;
	/** Bytes reserved for probes and their answers. */
	readonly probeReserveBytes: number;
	/** Bytes reserved for sync, which gossip may not use: sync sends only what the peer lacks. */
	readonly syncReserveBytes: number;
	/** Time after which the incarnation of a node that has received no packet is final. */
	readonly joinTimeoutMilliseconds: number;
	/** Time after the first packet for peers to report an earlier incarnation of this node. */
	readonly settleMilliseconds: number;
	readonly syncIntervalMilliseconds: number;
	/** Sync interval while sync still delivers new members. */
	readonly joinIntervalMilliseconds: number;
	/** Interval at which a dead member is pinged, to detect that a partition healed. */
	readonly reconnectIntervalMilliseconds: number;
	/** Longest interval at which a seed is contacted, to join groups that formed separately. */
	readonly seedContactIntervalMilliseconds: number;
	/** Time for which the record of a dead member is kept. */
	readonly deadRetentionMilliseconds: number;
	/** A gap between events of this length or more means that this process was paused. */
	readonly pauseThresholdMilliseconds: number;
	/** Maximum of `localHealth`, which scales timeouts while this node itself is unhealthy. */
	readonly maximumLocalHealth: number;
	/** Number of peers that must acknowledge a leave before it is complete. */
	readonly leavePeers: number;
	readonly leaveTimeoutMilliseconds: number;
	/** Maximum number of stored announcements. */
	readonly maximumAnnouncements: number;
	/** Maximum number of members queued for a priority probe. */
	readonly maximumPriorityProbes: number;
	readonly maximumTopics: number;
	/** Maximum payload of one announcement. */
	readonly maximumAnnouncementBytes: number;
	/** Maximum number of queued answers to sync requests. */
	readonly maximumSyncJobs: number;
	/** Maximum number of buckets sent in answer to one sync request. */
	readonly bucketsPerSync: number;
};

export const defaultParameters: MembershipParameters = {
	tickIntervalMilliseconds: 100,
	maximumTickIntervalMilliseconds: 250,
	probeIntervalMilliseconds: 1000,
	probeTimeoutMilliseconds: 300,
	remoteProbeShare: 1 / 8,
	indirectProbes: 3,
	suspicionMultiplier: 3,
	gossipIntervalMilliseconds: 200,
	gossipFanout: 3,
	extraTransmissions: 6,
	bytesPerSecond: 3000,
	burstBytes: 6000,
	probeReserveBytes: 1000,
	syncReserveBytes: 1500,
	joinTimeoutMilliseconds: 1000,
	settleMilliseconds: 200,
	syncIntervalMilliseconds: 10_000,
	joinIntervalMilliseconds: 1000,
	reconnectIntervalMilliseconds: 15_000,
	seedContactIntervalMilliseconds: 15_000,
	deadRetentionMilliseconds: 7_200_000,
	pauseThresholdMilliseconds: 1000,
	maximumLocalHealth: 4,
	leavePeers: 5,
	leaveTimeoutMilliseconds: 1000,
	maximumAnnouncements: 256,
	maximumPriorityProbes: 64,
	maximumTopics: 4096,
	maximumAnnouncementBytes: 600,
	maximumSyncJobs: 32,
	bucketsPerSync: 16,
};

/**
 * Computes how many times a rumour is sent so that it probably reaches every member.
 *
 * @param extraTransmissions transmissions beyond the logarithm of the number of members
 * @param memberCount number of known members
 * @returns number of transmissions
 */
export function countTransmissions(
	extraTransmissions: number,
	memberCount: number,
): number {
	return Math.ceil(Math.log(memberCount + 1)) + extraTransmissions;
}

/**
 * Computes how long a suspect member has to refute the suspicion.
 *
 * @param parameters the parameters of membership
 * @param memberCount number of known members
 * @returns milliseconds
 */
export function suspicionTimeout(
	parameters: MembershipParameters,
	memberCount: number,
): number {
	const {suspicionMultiplier, probeIntervalMilliseconds} = parameters;
	const scale = Math.max(1, Math.log10(memberCount + 1));
	return suspicionMultiplier * scale * probeIntervalMilliseconds;
}
