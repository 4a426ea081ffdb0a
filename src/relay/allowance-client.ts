/**
 * Asks other nodes for tokens of teams' allowances, with a timeout from the measured round trips to
 * each node: a lost datagram is noticed soon, and a far node is not taken for silent.
 */
import type {AllowanceGrant, AllowanceRequest} from '../generated/gate.js';
import type {Member} from '../membership/index.js';
import type {GateSocket} from './gate-socket.js';

export type AllowanceClientOptions = {
	readonly socket: () => Pick<GateSocket, 'requestAllowance'> | undefined;
	readonly findMember: (nodeId: string) => Member | undefined;
	/** Timeouts stay below this, so that a grant is of use when it arrives. */
	readonly maximumTimeoutMilliseconds: number;
	/** Monotonic time in milliseconds. */
	readonly now: () => number;
};

/** Asks a node; undefined if it is not known or does not answer in time. */
export type AskAllowance = (
	nodeId: string,
	request: AllowanceRequest,
) => Promise<AllowanceGrant | undefined>;

/** Weight of a new round trip in the mean. */
const roundTripWeight = 0.25;
const timeoutRoundTrips = 4;
/** Time that a busy node may take to answer. */
const processingMilliseconds = 30;
const unknownRoundTripMilliseconds = 20;

/**
 * Creates the client.
 *
 * @param options the socket, the members and the clock
 * @returns a function that asks a node
 */
export function createAllowanceClient(options: AllowanceClientOptions): AskAllowance {
	const {now, maximumTimeoutMilliseconds} = options;
	const roundTrips = new Map<string, number>();
	return async (nodeId, request) => {
		const member = options.findMember(nodeId);
		const socket = options.socket();
		if (member === undefined || socket === undefined) {
			roundTrips.delete(nodeId);
			return undefined;
		}

		const mean = roundTrips.get(nodeId) ?? unknownRoundTripMilliseconds;
		const timeout = processingMilliseconds + mean * timeoutRoundTrips;
		const sentAt = now();
		const grant = await socket.requestAllowance(
			{host: member.host, port: member.peerPort},
			request,
			Math.min(maximumTimeoutMilliseconds, timeout),
		);
		// After a timeout the next one is longer, as the round trip may have grown.
		const elapsed = now() - sentAt;
		roundTrips.set(nodeId, mean + (elapsed - mean) * roundTripWeight);
		return grant;
	};
}
