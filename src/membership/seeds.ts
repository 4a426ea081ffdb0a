/**
 * Seeds: the addresses through which a node joins the mesh. They come from the settings and from
 * a few rows in the platform's table, which nodes of each failure domain keep up to date.
 */
import {err, ok, type Result} from 'neverthrow';
import {hashText} from './hash.js';
import {memberStatuses, type Member} from './member.js';
import {type Address} from './message.js';

/** Number of seed rows in the table for each failure domain. */
export const seedRowsPerFailureDomain = 3;
/** Maximum interval at which a node with peers checks the seed row that it owns. */
export const seedRowIntervalMilliseconds = 60_000;
const emptyTableDelayMilliseconds = 1000;
/** Spreads the writes of a fleet whose nodes start together and know no peers yet. */
const isolatedDelayMilliseconds = 120_000;
/** Spreads the checks of all owners of seed rows after the table was restored. */
const rowCheckSpreadMilliseconds = 1000;
const minimumReadDelayMilliseconds = 1000;
const maximumReadDelayMilliseconds = 60_000;
const maximumPort = 65_535;

/** A row with the address of a node to join through. It is a hint: the node may be gone. */
export type SeedRow = {
	readonly failureDomain: string;
	/** Number of the row in the failure domain, from zero. */
	readonly index: number;
	/** Control address, `host:port`. */
	readonly address: string;
};

export type SeedAddressError = {
	readonly kind: 'seed-address-invalid';
	readonly message: string;
};

/**
 * Reads an address of the form `host:port`, with an IPv6 host in brackets.
 *
 * @param text the address
 * @returns the address, or an error when the text is invalid
 */
export function parseSeedAddress(text: string): Result<Address, SeedAddressError> {
	const separator = text.lastIndexOf(':');
	const host = stripBrackets(text.slice(0, separator));
	const port = Number(text.slice(separator + 1));
	const isPort = Number.isInteger(port) && port > 0 && port <= maximumPort;
	if (separator < 1 || !isPort) {
		const message = `seed "${text}" is not an address; write it as host:controlPort, such as 10.0.0.1:7003`;
		return err({kind: 'seed-address-invalid', message});
	}

	return ok({host, port});
}

/**
 * Decides which seed row a node owns. The nodes of a failure domain whose ids have the lowest
 * hashes own its rows, so that no coordination is needed.
 *
 * @param self this node
 * @param members the members that it knows
 * @returns the row, or undefined when other nodes own all rows
 */
export function chooseSeedRow(
	self: Member,
	members: Iterable<Member>,
): SeedRow | undefined {
	const own = hashText(self.nodeId);
	let index = 0;
	for (const member of members) {
		const isCandidate =
			member.nodeId !== self.nodeId &&
			member.failureDomain === self.failureDomain &&
			member.status === memberStatuses.alive;
		if (!isCandidate) {
			continue;
		}

		const other = hashText(member.nodeId);
		index += other < own || (other === own && member.nodeId < self.nodeId) ? 1 : 0;
	}

	if (index >= seedRowsPerFailureDomain || self.status !== memberStatuses.alive) {
		return undefined;
	}

	const address = `${self.host}:${self.controlPort}`;
	return {failureDomain: self.failureDomain, index, address};
}

/**
 * Computes the delay before a node checks its seed row again.
 *
 * @param hasPeers whether the node knows any peer
 * @param hasRows whether the table held addresses of other nodes when it was last read
 * @param random source of random numbers in [0, 1)
 * @returns milliseconds
 */
export function chooseSeedRowDelay(
	hasPeers: boolean,
	hasRows: boolean,
	random: () => number,
): number {
	if (hasPeers) {
		return seedRowIntervalMilliseconds * (0.5 + random() / 2);
	}

	return (hasRows ? isolatedDelayMilliseconds : emptyTableDelayMilliseconds) * random();
}

/**
 * Computes the delay before a node checks its seed row because the table may have lost it.
 *
 * @param random source of random numbers in [0, 1)
 * @returns milliseconds
 */
export function chooseSeedRowCheckDelay(random: () => number): number {
	return rowCheckSpreadMilliseconds * random();
}

/**
 * Computes the delay before a node reads the seeds from the table again. It backs off
 * exponentially, so that a fleet that starts at once does not overload the table.
 *
 * @param attempt number of earlier reads
 * @param hasPeers whether the node knows any peer
 * @param random source of random numbers in [0, 1)
 * @returns milliseconds
 */
export function chooseSeedReadDelay(
	attempt: number,
	hasPeers: boolean,
	random: () => number,
): number {
	const backoff = minimumReadDelayMilliseconds * 2 ** Math.min(attempt, 16);
	const bound = hasPeers
		? maximumReadDelayMilliseconds * 10
		: maximumReadDelayMilliseconds;
	const ceiling = hasPeers ? bound : Math.min(bound, backoff);
	return ceiling * (0.5 + random() / 2);
}

function stripBrackets(host: string): string {
	return host.startsWith('[') && host.endsWith(']') ? host.slice(1, -1) : host;
}
