/**
 * Seeds: the addresses by which a node finds the mesh. They come from the settings and from a
 * few rows in the platform's table, which the nodes of each failure domain keep fresh in turn.
 */
import {err, ok, type Result} from 'neverthrow';
import {hashText} from './hash.js';
import {memberStatuses, type Member} from './member.js';
import {type Address} from './message.js';

/** Rows in the table for each failure domain. */
export const seedRowsPerFailureDomain = 3;
/** Interval at which the node that holds a row writes it anew. */
export const seedRowIntervalMilliseconds = 60_000;
const emptyTableDelayMilliseconds = 1000;
/** Spreads the writes of a fleet that starts at once, none of which knows another yet. */
const isolatedDelayMilliseconds = 120_000;
const minimumReadDelayMilliseconds = 1000;
const maximumReadDelayMilliseconds = 60_000;
const maximumPort = 65_535;

/** A row that helps nodes to find the mesh. It is a hint: its node may be gone. */
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
 * @returns the address, or why it is none
 */
export function parseSeedAddress(text: string): Result<Address, SeedAddressError> {
	const separator = text.lastIndexOf(':');
	const host = stripBrackets(text.slice(0, separator));
	const port = Number(text.slice(separator + 1));
	const isPort = Number.isInteger(port) && port > 0 && port <= maximumPort;
	if (separator < 1 || !isPort) {
		const message = `seed "${text}" is no address; write it as host:controlPort, such as 10.0.0.1:7003`;
		return err({kind: 'seed-address-invalid', message});
	}

	return ok({host, port});
}

/**
 * Decides which seed row a node keeps. The nodes of a failure domain with the lowest hashes
 * hold its rows, so that they agree without asking each other.
 *
 * @param self this node
 * @param members the members that it knows of
 * @returns the row, or undefined when others hold them all
 */
export function chooseSeedRow(
	self: Member,
	members: Iterable<Member>,
): SeedRow | undefined {
	const own = hashText(self.nodeId);
	let slot = 0;
	for (const member of members) {
		const isRival =
			member.nodeId !== self.nodeId &&
			member.failureDomain === self.failureDomain &&
			member.status === memberStatuses.alive;
		if (!isRival) {
			continue;
		}

		const rival = hashText(member.nodeId);
		slot += rival < own || (rival === own && member.nodeId < self.nodeId) ? 1 : 0;
	}

	if (slot >= seedRowsPerFailureDomain || self.status !== memberStatuses.alive) {
		return undefined;
	}

	const address = `${self.host}:${self.controlPort}`;
	return {failureDomain: self.failureDomain, index: slot, address};
}

/**
 * Decides how long a node waits before it looks at its seed row again.
 *
 * @param hasPeers whether the node knows another member
 * @param hasRows whether the table held addresses of other nodes when it was last read
 * @param random source of numbers from 0 to below 1
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
 * Decides how long a node waits before it reads the seeds from the table again: ever longer, so
 * that a fleet that starts at once does not read the table to a halt.
 *
 * @param attempt readings so far
 * @param hasPeers whether the node knows another member
 * @param random source of numbers from 0 to below 1
 * @returns milliseconds
 */
export function chooseSeedReadDelay(
	attempt: number,
	hasPeers: boolean,
	random: () => number,
): number {
	const grown = minimumReadDelayMilliseconds * 2 ** Math.min(attempt, 16);
	const bound = hasPeers
		? maximumReadDelayMilliseconds * 10
		: maximumReadDelayMilliseconds;
	const ceiling = hasPeers ? bound : Math.min(bound, grown);
	return ceiling * (0.5 + random() / 2);
}

function stripBrackets(host: string): string {
	return host.startsWith('[') && host.endsWith(']') ? host.slice(1, -1) : host;
}
