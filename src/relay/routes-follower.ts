/**
 * Keeps the routes of a node up to date: reads them from the table, follows their changes there
 * with one long question at a time, and takes them from another node when the gossip tells of a
 * version that has not come. A node whose table is away so learns of changes from the others.
 */
import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';
import type {Result} from 'neverthrow';
import {collectWhole} from '../http/index.js';
import type {Logger} from '../log/index.js';
import type {Member, Membership} from '../membership/index.js';
import {routesPath} from './peer-listener.js';
import type {RoutesHolder} from './routes-in-force.js';

/** What the table says of the routes. */
export type RoutesReading = {
	/** The newest document; undefined when it has not changed, or when there is none. */
	readonly text: string | undefined;
	/** Where in the table's history this was read. */
	readonly position: number;
};

export const routeSourceErrors = {
	/** The table did not answer, or refused for now. */
	unavailable: 'unavailable',
	/** The table no longer has the history that was asked for. */
	historyGone: 'history-gone',
} as const;

export type RouteSourceError = {
	readonly kind: (typeof routeSourceErrors)[keyof typeof routeSourceErrors];
	readonly message: string;
};

/** Where the routes lie. */
export type RouteSource = {
	readonly read: () => Promise<Result<RoutesReading, RouteSourceError>>;
	/** Waits for a change after a position, for at most a time in milliseconds. */
	readonly awaitChange: (
		position: number,
		waitMilliseconds: number,
	) => Promise<Result<RoutesReading, RouteSourceError>>;
};

export type RoutesFollowerOptions = {
	readonly source: RouteSource;
	readonly holder: RoutesHolder;
	readonly membership: Pick<Membership, 'onVersion' | 'versionOf' | 'all' | 'self'>;
	readonly log: Logger;
	/** A number from 0 to below 1. */
	readonly random: () => number;
};

export type RoutesFollower = {readonly close: () => void};

/** Gossip topic of the version of the routes. */
export const routesTopic = 'routes';
/** Longest time of one question to the table; half the history that it keeps, in milliseconds. */
const waitMilliseconds = 15_000;
/** Pauses after a question that failed, in milliseconds. */
const shortestPauseMilliseconds = 200;
const longestPauseMilliseconds = 2000;
/** Time in which a version that others have usually comes by itself, in milliseconds. */
const gossipHeadStartMilliseconds = 150;
const peerTimeoutMilliseconds = 500;
/** Nodes that are asked for a version before the next news of it is awaited. */
const peerTries = 5;

/**
 * Follows the routes until it is closed.
 *
 * @param options the table, the holder and the other nodes
 * @returns the follower
 */
export function followRoutes(options: RoutesFollowerOptions): RoutesFollower {
	const {source, holder, membership, log, random} = options;
	const life = {isClosed: false};
	let isLost = false;
	let failures = 0;
	let isCatchingUp = false;

	function noteAnswer(): void {
		failures = 0;
		if (isLost) {
			isLost = false;
			log.info('table regained', {routesVersion: holder.current()?.table.version});
		}
	}

	async function noteFailure(error: RouteSourceError): Promise<void> {
		if (!isLost) {
			isLost = true;
			log.warn('table lost', {
				reason: error.message,
				routesVersion: holder.current()?.table.version,
			});
		}

		const grown = shortestPauseMilliseconds * 2 ** Math.min(failures, 8);
		failures += 1;
		const pause = Math.min(longestPauseMilliseconds, grown) * (0.5 + random() / 2);
		await sleep(pause);
	}

	async function readPosition(): Promise<number | undefined> {
		while (!life.isClosed) {
			const reading = await source.read();
			if (reading.isOk()) {
				noteAnswer();
				take(reading.value.text);
				return reading.value.position;
			}

			await noteFailure(reading.error);
		}

		return undefined;
	}

	async function follow(): Promise<void> {
		let position = await readPosition();
		while (!life.isClosed && position !== undefined) {
			const change = await source.awaitChange(position, waitMilliseconds);
			if (change.isOk()) {
				noteAnswer();
				take(change.value.text);
				position = change.value.position;
				continue;
			}

			if (change.error.kind === routeSourceErrors.historyGone) {
				log.info('table history gone', {position});
				position = await readPosition();
				continue;
			}

			await noteFailure(change.error);
		}
	}

	function take(text: string | undefined): void {
		if (text !== undefined) {
			holder.take(text, 'table');
		}
	}

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
			if (life.isClosed || !isBehind()) {
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
	void follow();
	return {
		close() {
			life.isClosed = true;
		},
	};
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

async function sleep(milliseconds: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, milliseconds);
	});
}
