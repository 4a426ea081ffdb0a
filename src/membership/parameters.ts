/** The parameters of membership: intervals, timeouts and bounds. */
export type MembershipParameters = {
	readonly tickIntervalMilliseconds: number;
	readonly probeIntervalMilliseconds: number;
	/** Time for a direct answer before peers are asked to probe as well. */
	readonly probeTimeoutMilliseconds: number;
	/** Peers asked to probe a member that gave no direct answer. */
	readonly indirectProbes: number;
	/** Suspicion lasts this many probe intervals for each power of ten of members. */
	readonly suspicionMultiplier: number;
	readonly gossipIntervalMilliseconds: number;
	/** Peers that receive news in each gossip interval. */
	readonly gossipFanout: number;
	/**
	 * A rumour is sent this many times beyond the natural logarithm of the members. The chance
	 * that some member is missed falls by a factor of e with each.
	 */
	readonly extraTransmissions: number;
	/** Bytes sent a second, with the headers of UDP and IP. */
	readonly bytesPerSecond: number;
	/** Bytes that may be sent at once after a quiet time. */
	readonly burstBytes: number;
	/** Bytes kept back for probes and their answers. */
	readonly probeReserveBytes: number;
	/** Bytes kept back from gossip for sync, which never sends what the other side has. */
	readonly syncReserveBytes: number;
	/** A node without peers starts as settled after this time. */
	readonly joinTimeoutMilliseconds: number;
	/** Time after the first answer in which peers may tell of an earlier life. */
	readonly settleMilliseconds: number;
	readonly syncIntervalMilliseconds: number;
	/** Interval of sync while members are still being learned. */
	readonly joinIntervalMilliseconds: number;
	/** Interval at which a seed or a dead member is tried, so that a healed cut is noticed. */
	readonly reconnectIntervalMilliseconds: number;
	/** Time for which a dead member is remembered. */
	readonly deadRetentionMilliseconds: number;
	/** A gap between events beyond this means that this process was paused. */
	readonly pauseThresholdMilliseconds: number;
	/** Bound on the multiplier of timeouts while this node itself is unwell. */
	readonly maximumLocalHealth: number;
	/** Peers whose answer makes a leave count as spread. */
	readonly leavePeers: number;
	readonly leaveTimeoutMilliseconds: number;
	/** Announcements held at once. */
	readonly maximumAnnouncements: number;
	/** Members held alive that are probed first since others hold them dead. */
	readonly maximumPriorityProbes: number;
	readonly maximumTopics: number;
	/** Bytes of the payload of one announcement. */
	readonly maximumAnnouncementBytes: number;
	/** Answers to sync that wait to be sent. */
	readonly maximumSyncJobs: number;
	/** Buckets sent in answer to one request. */
	readonly bucketsPerSync: number;
};

export const defaultParameters: MembershipParameters = {
	tickIntervalMilliseconds: 100,
	probeIntervalMilliseconds: 1000,
	probeTimeoutMilliseconds: 300,
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
 * Gives how often a rumour is sent so that it likely reaches every member.
 *
 * @param extraTransmissions transmissions beyond the logarithm
 * @param memberCount members known
 * @returns times
 */
export function countTransmissions(
	extraTransmissions: number,
	memberCount: number,
): number {
	return Math.ceil(Math.log(memberCount + 1)) + extraTransmissions;
}

/**
 * Gives the time that a suspected member has to refute.
 *
 * @param parameters the parameters of membership
 * @param memberCount members known
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
