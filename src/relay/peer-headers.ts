/**
 * The headers that carry an attempt from its ingress to another node's gate. Names from the configuration may hold
 * characters that no header may, so they are percent-encoded.
 */
import {
	copyEndToEndHeaders,
	findHeader,
	formatAttemptId,
	parseAttemptId,
	type AttemptId,
	type Body,
	type HeaderList,
} from '../call/index.js';
import {decodePathSegment, isPrintable} from '../http/index.js';
import type {RelayAttempt} from './call.js';

const names = {
	attempt: 'foxtailtide-attempt',
	request: 'foxtailtide-request',
	route: 'foxtailtide-route',
	service: 'foxtailtide-service',
	origin: 'foxtailtide-origin',
	/** Rank, latency target, time left until target and deadline, maximum attempts. */
	figures: 'foxtailtide-figures',
	/** One letter for each flag that is set. */
	flags: 'foxtailtide-flags',
	/** Absent without a team. */
	team: 'foxtailtide-team',
	/** Regions, separated by commas; absent if any may run the request. */
	homes: 'foxtailtide-homes',
	/** Digests, separated by commas; absent if it is not suspected to crash servers. */
	suspect: 'foxtailtide-suspect',
} as const;

const flags = {idempotent: 'i', nested: 'n', repeated: 'p', retry: 'r'} as const;

/**
 * Builds the headers of an attempt.
 *
 * @param attempt the attempt
 * @param now monotonic time in milliseconds
 * @returns alternating names and values, the caller's own first
 */
export function buildPeerHeaders(attempt: RelayAttempt, now: number): string[] {
	const {call} = attempt;
	const figures = [
		call.rank,
		call.targetMilliseconds,
		Math.round(call.targetAt - now),
		Math.round(call.deadlineAt - now),
		call.maximumAttempts,
	];
	const letters = [
		call.idempotent ? flags.idempotent : '',
		call.nested ? flags.nested : '',
		call.repeated ? flags.repeated : '',
		attempt.isRetry ? flags.retry : '',
	];
	return [
		...call.headers,
		names.attempt,
		formatAttemptId(attempt.id),
		names.request,
		call.requestId,
		names.route,
		encodeURIComponent(call.route),
		names.service,
		encodeURIComponent(call.service),
		names.origin,
		encodeURIComponent(call.originService),
		names.figures,
		figures.join(','),
		names.flags,
		letters.join(''),
		...(call.team === undefined ? [] : [names.team, encodeURIComponent(call.team)]),
		...(call.homes === undefined ? [] : [names.homes, formatHomes(call.homes)]),
		...(attempt.suspectDigests === undefined
			? []
			: [names.suspect, attempt.suspectDigests.join(',')]),
	];
}

/**
 * Builds the header that names the attempt in its response.
 *
 * @param id the attempt
 * @returns name and value
 */
export function buildResponseHeaders(id: AttemptId): string[] {
	return [names.attempt, formatAttemptId(id)];
}

/**
 * Tells whether a response may be the one to an attempt. One that names none is of a node that does not
 * name them yet.
 *
 * @param headers headers of the response
 * @param id the attempt
 */
export function isResponseTo(headers: HeaderList, id: AttemptId): boolean {
	const named = findHeader(headers, names.attempt);
	return named === undefined || named === formatAttemptId(id);
}

/** A received attempt without its body. */
export type PeerRequestHead = {
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: HeaderList;
};

/**
 * Parses an attempt from another node.
 *
 * @param head the received request
 * @param body its body
 * @param now monotonic time in milliseconds at which its head arrived
 * @returns the attempt; undefined if the request is not from a node
 */
export function parsePeerAttempt(
	head: PeerRequestHead,
	body: Body,
	now: number,
): RelayAttempt | undefined {
	const read = (name: string): string => findHeader(head.rawHeaders, name) ?? '';
	const id = parseAttemptId(read(names.attempt));
	const [rank, targetMilliseconds, target, deadline, maximumAttempts] = read(
		names.figures,
	)
		.split(',')
		.map(Number);
	if (id === undefined || deadline === undefined || Number.isNaN(deadline)) {
		return undefined;
	}

	const route = decodeName(read(names.route));
	const service = decodeName(read(names.service));
	const originService = decodeName(read(names.origin));
	const team = readTeam(head.rawHeaders);
	// They are written on, and decoding may have brought control characters to light.
	if (![route, service, originService, team ?? ''].every(name => isPrintable(name))) {
		return undefined;
	}

	const letters = read(names.flags);
	return {
		id,
		isRetry: letters.includes(flags.retry),
		...readSuspicion(head.rawHeaders),
		call: {
			requestId: read(names.request),
			route,
			service,
			method: head.method,
			path: head.path,
			headers: copyEndToEndHeaders(head.rawHeaders),
			body,
			originService,
			rank: rank!,
			idempotent: letters.includes(flags.idempotent),
			nested: letters.includes(flags.nested),
			repeated: letters.includes(flags.repeated),
			targetMilliseconds: targetMilliseconds!,
			arrivedAt: now,
			targetAt: now + target!,
			deadlineAt: now + deadline,
			maximumAttempts: maximumAttempts ?? 1,
			team,
			homes: parseHomes(findHeader(head.rawHeaders, names.homes)),
		},
	};
}

function readSuspicion(headers: HeaderList): Pick<RelayAttempt, 'suspectDigests'> {
	const digests = findHeader(headers, names.suspect);
	return digests === undefined ? {} : {suspectDigests: digests.split(',')};
}

function readTeam(headers: HeaderList): string | undefined {
	const team = findHeader(headers, names.team);
	return team === undefined ? undefined : decodeName(team);
}

function parseHomes(homes: string | undefined): readonly string[] | undefined {
	return homes
		?.split(',')
		.filter(home => home !== '')
		.map(home => decodeName(home));
}

function formatHomes(homes: readonly string[]): string {
	return homes.map(home => encodeURIComponent(home)).join(',');
}

/** Nodes of earlier versions send names as they are. */
function decodeName(text: string): string {
	return decodePathSegment(text) ?? text;
}
