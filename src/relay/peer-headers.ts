/** How an attempt travels from its ingress to another node's gate, as headers of one request. */
import {
	copyEndToEndHeaders,
	findHeader,
	formatAttemptId,
	parseAttemptId,
	type Body,
	type HeaderList,
} from '../call/index.js';
import type {RelayAttempt} from './call.js';

const names = {
	attempt: 'foxtailtide-attempt',
	request: 'foxtailtide-request',
	route: 'foxtailtide-route',
	service: 'foxtailtide-service',
	origin: 'foxtailtide-origin',
	/** Rank, target, time left to the target and to the deadline, attempts allowed. */
	figures: 'foxtailtide-figures',
	/** A letter for each thing that is so. */
	flags: 'foxtailtide-flags',
} as const;

const flags = {idempotent: 'i', nested: 'n', repeat: 'r'} as const;

/**
 * Lists the headers of an attempt.
 *
 * @param attempt the attempt
 * @param now monotonic time in milliseconds
 * @returns names and values in turn, the caller's own first
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
	const marks = [
		call.idempotent ? flags.idempotent : '',
		call.nested ? flags.nested : '',
		attempt.isRetry ? flags.repeat : '',
	];
	return [
		...call.headers,
		names.attempt,
		formatAttemptId(attempt.id),
		names.request,
		call.requestId,
		names.route,
		call.route,
		names.service,
		call.service,
		names.origin,
		call.originService,
		names.figures,
		figures.join(','),
		names.flags,
		marks.join(''),
	];
}

/** An attempt as it arrives, without its body. */
export type PeerHead = {
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: HeaderList;
};

/**
 * Reads an attempt that another node sent.
 *
 * @param head the received request
 * @param body its body
 * @param now monotonic time in milliseconds
 * @returns the attempt; undefined when no node sent it
 */
export function parsePeerAttempt(
	head: PeerHead,
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

	const marks = read(names.flags);
	return {
		id,
		isRetry: marks.includes(flags.repeat),
		call: {
			requestId: read(names.request),
			route: read(names.route),
			service: read(names.service),
			method: head.method,
			path: head.path,
			headers: copyEndToEndHeaders(head.rawHeaders),
			body,
			originService: read(names.origin),
			rank: rank!,
			idempotent: marks.includes(flags.idempotent),
			nested: marks.includes(flags.nested),
			targetMilliseconds: targetMilliseconds!,
			arrivedAt: now,
			targetAt: now + target!,
			deadlineAt: now + deadline,
			maximumAttempts: maximumAttempts ?? 1,
		},
	};
}
