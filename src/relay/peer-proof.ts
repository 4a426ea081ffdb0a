/**
 * What nodes tell each other about the table's clock and their newest proof of the routes, by question
 * and answer: the asker adds the time since it asked, on its own clock.
 */
import {request as sendRequest} from 'node:http';
import {awaitSoundResponse} from '../http/index.js';
import type {Member} from '../membership/index.js';
import type {RoutesProof} from '../proven-age/index.js';
import {newerThanHeader, routesPath, storeClockHeader} from './peer-listener.js';

/** An answer of another node. */
export type PeerKnowledge = {
	readonly era: number;
	/** Upper bound of the table's clock when the node answered, in milliseconds. */
	readonly storeTime: number;
	readonly proof: RoutesProof | undefined;
};

const peerTimeoutMilliseconds = 500;

/**
 * Formats what a node knows as a header.
 *
 * @param knowledge what it knows
 * @returns `ERA TIME`, followed by `ERA TIME VERSION` of the proof if there is one
 */
export function formatKnowledge({era, storeTime, proof}: PeerKnowledge): string {
	const numbers = [era, Math.ceil(storeTime)];
	if (proof !== undefined) {
		numbers.push(proof.era, proof.provenAt, proof.version);
	}

	return numbers.join(' ');
}

/**
 * Reads the header of another node.
 *
 * @param text the header's value
 * @returns what the node knows; undefined if it states nothing that can be read
 */
export function parseKnowledge(text: unknown): PeerKnowledge | undefined {
	const numbers = typeof text === 'string' ? text.split(' ').map(Number) : [];
	if (numbers.length < 2 || numbers.some(number => !Number.isSafeInteger(number))) {
		return undefined;
	}

	const [era, storeTime, proofEra, provenAt, version] = numbers;
	const proof =
		proofEra === undefined || provenAt === undefined || version === undefined
			? undefined
			: {era: proofEra, provenAt, version};
	return {era: era!, storeTime: storeTime!, proof};
}

/**
 * Asks another node what it knows.
 *
 * @param member the node
 * @returns its answer; undefined if it knows nothing or does not answer in time
 */
export async function askPeer({
	host,
	peerPort,
}: Member): Promise<PeerKnowledge | undefined> {
	return new Promise(resolve => {
		const request = sendRequest({
			host,
			port: peerPort,
			path: routesPath,
			// No version is newer: only the header is wanted.
			headers: {[newerThanHeader]: String(Number.MAX_SAFE_INTEGER)},
			agent: false,
			signal: AbortSignal.timeout(peerTimeoutMilliseconds),
		});
		request.on('response', response => {
			const verdict = awaitSoundResponse(request, response);
			response.resume();
			void verdict.then(fault => {
				const text = fault === undefined && response.headers[storeClockHeader];
				resolve(parseKnowledge(text));
			});
		});
		request.on('error', () => {
			resolve(undefined);
		});
		request.end();
	});
}
