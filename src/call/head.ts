/**
 * The head of a call: what is known about a request before its body is read. Parsing is a pure
 * function of the received headers, the service's policy and the current time, so that a request
 * refused here has provably not run.
 */
import {err, ok, type Result} from 'neverthrow';
import {headerNames} from './headers.js';
import {createRefusal, refusalKinds, type Refusal} from './refusal.js';

/** The policy of a service in the active configuration. */
export type CallPolicy = {
	readonly rank: string;
	readonly deadlineMilliseconds: number;
	readonly idempotentMethods: readonly string[];
};

/** What is known about a call before its body is read. */
export type CallHead = {
	readonly service: string;
	readonly method: string;
	/** Path and query as received. */
	readonly path: string;
	readonly rank: string;
	/** Name of the caller, for fairness between callers. */
	readonly caller: string;
	/** When the caller stops waiting, monotonic time in milliseconds. */
	readonly deadlineAt: number;
	readonly idempotent: boolean;
	/** The caller's idempotency key, if it sent one. */
	readonly key: string | undefined;
	/** Whether the caller says that it never sent the key before. */
	readonly isFirstSending: boolean;
	/** Retries already made by the calls that led to this one. */
	readonly retries: number;
};

/** The parts of a received request that the head is read from. */
export type ReceivedHead = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	/** Remote address of the connection; identifies a caller that sends no name. */
	readonly remoteAddress: string;
};

const maximumDeadlineMilliseconds = 3_600_000;
const maximumNameLength = 128;
const maximumKeyLength = 512;
const namePattern = /^[\w.:@\-]+$/v;
const keyPattern = /^[\u0021-\u007E]+$/v;
const wholeNumberPattern = /^\d{1,9}$/v;

/**
 * Parses the head of a call.
 *
 * @param received the request as received
 * @param findPolicy returns the policy of a service, or `undefined` if it is not configured
 * @param now monotonic time in milliseconds
 * @returns the head, or the refusal to send to the caller
 */
export function parseCallHead(
	received: ReceivedHead,
	findPolicy: (service: string) => CallPolicy | undefined,
	now: number,
): Result<CallHead, Refusal> {
	const service = readName(received, headerNames.service);
	if (service === undefined) {
		return err(
			createMalformed(
				`name the service in one ${headerNames.service} header (letters, digits, ._:@-)`,
			),
		);
	}

	const policy = findPolicy(service);
	if (policy === undefined) {
		return err(
			createRefusal(
				refusalKinds.unknownService,
				`service ${service} is in no active configuration: check the name, or add it to a preset`,
			),
		);
	}

	return parseForService(received, service, policy, now);
}

function parseForService(
	received: ReceivedHead,
	service: string,
	policy: CallPolicy,
	now: number,
): Result<CallHead, Refusal> {
	const remaining = readWholeNumber(
		received,
		headerNames.deadline,
		policy.deadlineMilliseconds,
	);
	if (remaining === undefined || remaining > maximumDeadlineMilliseconds) {
		return err(
			createMalformed(
				`${headerNames.deadline} must be whole milliseconds from 0 to ${maximumDeadlineMilliseconds}`,
			),
		);
	}

	if (remaining === 0) {
		return err(
			createRefusal(
				refusalKinds.deadlineExceeded,
				'the deadline had already passed on arrival: allow more time',
			),
		);
	}

	const retries = readWholeNumber(received, headerNames.retries, 0);
	if (retries === undefined) {
		return err(createMalformed(`${headerNames.retries} must be a whole number`));
	}

	const key = received.headers[headerNames.idempotencyKey];
	if (key !== undefined && !isValidKey(key)) {
		return err(
			createMalformed(
				`Idempotency-Key must be one value of 1 to ${maximumKeyLength} visible ASCII characters`,
			),
		);
	}

	return ok({
		service,
		method: received.method,
		path: received.path,
		rank: readName(received, headerNames.rank) ?? policy.rank,
		caller: readName(received, headerNames.caller) ?? received.remoteAddress,
		deadlineAt: now + remaining,
		idempotent: policy.idempotentMethods.includes(received.method),
		key,
		isFirstSending: received.headers[headerNames.sending] === '1',
		retries,
	});
}

function createMalformed(remedy: string): Refusal {
	return createRefusal(refusalKinds.malformed, remedy);
}

function isValidKey(value: string | string[]): value is string {
	return (
		typeof value === 'string' &&
		value.length <= maximumKeyLength &&
		keyPattern.test(value)
	);
}

function readName(received: ReceivedHead, name: string): string | undefined {
	const value = received.headers[name];
	if (typeof value !== 'string' || value.length > maximumNameLength) {
		return undefined;
	}

	return namePattern.test(value) ? value : undefined;
}

function readWholeNumber(
	received: ReceivedHead,
	name: string,
	fallback: number,
): number | undefined {
	const value = received.headers[name];
	if (value === undefined) {
		return fallback;
	}

	if (typeof value !== 'string' || !wholeNumberPattern.test(value)) {
		return undefined;
	}

	return Number(value);
}
