/**
 * Tells the calls that the local server makes while it runs a request from the requests of callers. Such a call needs no
 * key, spends from no team's allowance and goes first at the gates, so more than its id has to speak for it: a call bears no
 * key, is sent from this VM, and belongs to a request that runs here.
 */
import type {ParentRequest, RelayGate} from './gate-types.js';
import type {CallerRequestMetadata} from './platform-protocol.js';

/** The two ends of the connection that a request came over. */
export type ConnectionEnds = {
	/** Undefined once the connection has closed. */
	readonly remoteAddress?: string | undefined;
	readonly localAddress?: string | undefined;
};

/** Finds the running request that made a call; undefined for the request of a caller. */
export type FindParent = (
	metadata: CallerRequestMetadata,
	connection: ConnectionEnds,
) => ParentRequest | undefined;

/** Only processes on the same VM can send from these. */
const loopbackAddresses: ReadonlySet<string> = new Set(['127.0.0.1', '::1']);
const mappedPrefix = '::ffff:';

/**
 * Creates the search for the parents of calls.
 *
 * @param options the gate, and the host of the local server
 * @returns the search
 */
export function createParentSearch(options: {
	readonly gate: Pick<RelayGate, 'findParent'>;
	readonly serverHost: string;
}): FindParent {
	return (metadata, connection) => {
		const isCandidate =
			metadata.teamKey === undefined && isFromThisVm(connection, options.serverHost);
		return isCandidate ? options.gate.findParent(metadata) : undefined;
	};
}

function isFromThisVm(
	{remoteAddress, localAddress}: ConnectionEnds,
	serverHost: string,
): boolean {
	if (remoteAddress === undefined) {
		return false;
	}

	const remote = withoutMapping(remoteAddress);
	return (
		loopbackAddresses.has(remote) ||
		remote === serverHost ||
		(localAddress !== undefined && remote === withoutMapping(localAddress))
	);
}

/** Writes an IPv4 address plainly that a listener for both families reports in its IPv6 form. */
function withoutMapping(address: string): string {
	return address.startsWith(mappedPrefix) ? address.slice(mappedPrefix.length) : address;
}
