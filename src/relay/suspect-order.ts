/**
 * The order of gates for a request that is suspected to crash servers: the same at every node, so that such
 * requests meet at one gate, which runs them one after the other, and a crash there costs one server.
 */
import {createHash} from 'node:crypto';
import type {Member} from '../membership/index.js';

/**
 * Orders gates by rendezvous hashing.
 *
 * @param members the gates
 * @param key key of the request
 * @returns the gates, first the one that should run it
 */
export function orderForSuspect(members: readonly Member[], key: string): Member[] {
	return members
		.map(member => ({member, score: hash(`${key} ${member.nodeId}`)}))
		.toSorted((left, right) => left.score - right.score)
		.map(({member}) => member);
}

function hash(text: string): number {
	return createHash('sha256').update(text).digest().readUInt32BE(0);
}
