/**
 * Takes the routes from another node when the gossip tells of a version that has not come. A node
 * whose table is away so learns of changes from the others.
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {collectWhole} from '../http/index.js';
import type {Logger} from '../log/index.js';
import type {Member, Membership} from '../membership/index.js';
import {routesPath} from './peer-listener.js';
import type {RoutesHolder} from './routes-in-force.js';

export type RoutesFromPeersOptions = {
	readonly holder: RoutesHolder;
	readonly membership: Pick<Membership, 'onVersion' | 'versionOf' | 'all' | 'self'>;
	readonly log: Logger;
};

/** Gossip topic of the version of the routes. */
export const routesTopic = 'routes';
/** Time in which a version that others have usually comes by itself, in milliseconds. */
const gossipHeadStartMilliseconds = 150;
const peerTimeoutMilliseconds = 500;
/** Nodes that are asked for a version before the next news of it is awaited. */
const peerTries = 5;

/**
 * Takes newer routes from other nodes for as long as the membership lives.
 *
 * @param options the holder, the other nodes and the log
 */
export function takeRoutesFromPeers(options: RoutesFromPeersOptions): void {
	const {holder, membership, log} = options;
	let isCatchingUp = false;

	function isBehind(): boolean {
		const known = membership.versionOf(routesTopic) ?? 0;
		return known > (holder.current()?.table.version ?? 0);
	}

	async function catchUp(from: string): Promise<void> {
		if (isCatchingUp) {
			return;
		}

		isCatchingUp = true;
		await sleep(gossipHeadStartMilliseconds);
		for (const member of listHolders(membership, from).slice(0, peerTries)) {
			if (!isBehind()) {
				break;
			}

			const text = await fetchRoutes(member);
			if (text === undefined) {
				log.info('peer gave no routes', {peer: member.nodeId});
				continue;
			}

			holder.take(text, member.nodeId);
		}

		isCatchingUp = false;
	}

	membership.onVersion((topic, _version, from) => {
		if (topic === routesTopic && isBehind()) {
			void catchUp(from);
		}
	});
}

/** The node that told of a version comes first; any other may have it as well. */
function listHolders(
	membership: Pick<Membership, 'all' | 'self'>,
	from: string,
): Member[] {
	const self = membership.self().nodeId;
	const others = membership
		.all()
		.filter(({nodeId, status}) => nodeId !== self && status !== 'dead');
	return [
		...others.filter(({nodeId}) => nodeId === from),
		...others.filter(({nodeId}) => nodeId !== from),
	];
}

/** Asks a node for its routes; undefined when it has none or does not answer in time. */
async function fetchRoutes(member: Member): Promise<string | undefined> {
	return new Promise(resolve => {
		const request = sendRequest({
			host: member.host,
			port: member.peerPort,
			path: routesPath,
			agent: false,
			signal: AbortSignal.timeout(peerTimeoutMilliseconds),
		});
		request.on('response', response => {
			if (response.statusCode !== 200) {
				response.resume();
				resolve(undefined);
				return;
			}

			collectWhole(response, whole => {
				resolve(whole && Buffer.from(whole).toString('utf8'));
			});
		});
		request.on('error', () => {
			resolve(undefined);
		});
		request.end();
	});
}
