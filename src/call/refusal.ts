/**
 * Refusals that a caller can receive. Each has a stable kind, an HTTP status and a message that
 * says what the caller can do. A refusal does not imply an outcome: only the code that refuses
 * knows whether the request was dispatched to a server.
 */
import * as z from 'zod';

export const refusalKinds = {
	malformed: 'malformed',
	unknownService: 'unknown-service',
	/** The caller's credential belongs to no team. */
	unknownTeam: 'unknown-team',
	/** Its team has used what it may use. */
	teamLimit: 'team-limit',
	keyMissing: 'key-missing',
	keyInvalid: 'key-invalid',
	keyExpired: 'key-expired',
	keyConflict: 'key-conflict',
	keyHomeGone: 'key-home-gone',
	storeUnavailable: 'store-unavailable',
	ledgerFull: 'ledger-full',
	bodyTooLarge: 'body-too-large',
	noServer: 'no-server',
	leaving: 'leaving',
	overloaded: 'overloaded',
	deadlineExceeded: 'deadline-exceeded',
	quarantined: 'quarantined',
	serverFailed: 'server-failed',
	serverCrashed: 'server-crashed',
	crashProven: 'crash-proven',
	cancelled: 'cancelled',
	notReady: 'not-ready',
} as const;

export type RefusalKind = (typeof refusalKinds)[keyof typeof refusalKinds];

/** A refusal that can be sent to a caller. */
export type Refusal = {
	readonly kind: RefusalKind;
	/** HTTP status code. */
	readonly status: number;
	/** What happened and what the caller can do about it. */
	readonly message: string;
	/** When to retry, in milliseconds from now. */
	readonly retryAfterMilliseconds?: number;
	/** Id of the crash of the server that ran the request; between nodes only. */
	readonly crashId?: string;
};

const statusCodes: Readonly<Record<RefusalKind, number>> = {
	[refusalKinds.malformed]: 400,
	[refusalKinds.unknownService]: 404,
	[refusalKinds.unknownTeam]: 401,
	[refusalKinds.teamLimit]: 429,
	[refusalKinds.keyMissing]: 428,
	[refusalKinds.keyInvalid]: 400,
	[refusalKinds.keyExpired]: 410,
	[refusalKinds.keyConflict]: 422,
	[refusalKinds.keyHomeGone]: 409,
	[refusalKinds.storeUnavailable]: 503,
	[refusalKinds.ledgerFull]: 503,
	[refusalKinds.bodyTooLarge]: 413,
	[refusalKinds.noServer]: 503,
	[refusalKinds.leaving]: 503,
	[refusalKinds.overloaded]: 429,
	[refusalKinds.deadlineExceeded]: 504,
	[refusalKinds.quarantined]: 422,
	[refusalKinds.serverFailed]: 502,
	[refusalKinds.serverCrashed]: 502,
	[refusalKinds.crashProven]: 422,
	[refusalKinds.cancelled]: 499,
	[refusalKinds.notReady]: 503,
};

const refusalSchema = z.object({
	kind: z.enum(refusalKinds),
	message: z.string(),
	retryAfterMilliseconds: z.number().optional(),
	crashId: z.string().optional(),
});

/**
 * Parses a refusal sent by another node.
 *
 * @param text JSON of a refusal
 * @returns the refusal; invalid text yields a refusal of kind `server-failed`
 */
export function parseRefusal(text: string): Refusal {
	const parsed = refusalSchema.safeParse(parseJson(text));
	if (!parsed.success) {
		return createRefusal(
			refusalKinds.serverFailed,
			'the node sent a refusal that cannot be parsed',
		);
	}

	const {kind, message, retryAfterMilliseconds, crashId} = parsed.data;
	const refusal = createRefusal(kind, message, retryAfterMilliseconds);
	return crashId === undefined ? refusal : {...refusal, crashId};
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}

/**
 * Creates a refusal.
 *
 * @param kind why the request is refused
 * @param message what happened and what the caller can do about it
 * @param retryAfterMilliseconds when to retry, in milliseconds from now
 * @returns the refusal with the status of its kind
 */
export function createRefusal(
	kind: RefusalKind,
	message: string,
	retryAfterMilliseconds?: number,
): Refusal {
	return {kind, status: statusCodes[kind], message, retryAfterMilliseconds};
}
