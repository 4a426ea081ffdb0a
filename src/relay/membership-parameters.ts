/** Parameters of membership on relay nodes, where they differ from the defaults. */
import type {MembershipParameters} from '../membership/index.js';

/**
 * Restarts are frequent, and a restarted node uses only its own gate until it knows the others.
 * It therefore looks for them more often than a node in a mesh that seldom changes.
 */
export const relayMembershipParameters = {
	reconnectIntervalMilliseconds: 1000,
	seedContactIntervalMilliseconds: 5000,
	joinTimeoutMilliseconds: 500,
	settleMilliseconds: 100,
	joinIntervalMilliseconds: 200,
	gossipIntervalMilliseconds: 100,
	/** Of servers that leave, of crashes and of requests that cause them. */
	maximumAnnouncements: 512,
	/** Limit on membership traffic. */
	bytesPerSecond: 8192,
	burstBytes: 16_384,
} satisfies Partial<MembershipParameters>;
