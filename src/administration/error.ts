/** The errors of the administration API: a stable kind, a status, and a message with the remedy. */
import type {ChangeError, ChangeErrorKind} from '../configuration/index.js';

export const administrationErrorKinds = {
	malformed: 'malformed',
	unauthorized: 'unauthorized',
	forbidden: 'forbidden',
	notFound: 'not-found',
	methodNotAllowed: 'method-not-allowed',
	bodyTooLarge: 'body-too-large',
	notAvailable: 'not-available',
	internal: 'internal',
} as const;

export type AdministrationErrorKind =
	| (typeof administrationErrorKinds)[keyof typeof administrationErrorKinds]
	| ChangeErrorKind;

/** A request that was refused or failed, ready to be answered. */
export type AdministrationError = {
	readonly kind: AdministrationErrorKind;
	readonly status: number;
	readonly message: string;
	/** Further fields of the answer, such as the faults of a document. */
	readonly details?: Readonly<Record<string, unknown>>;
};

const statusOf: Readonly<Record<AdministrationErrorKind, number>> = {
	malformed: 400,
	unauthorized: 401,
	forbidden: 403,
	'not-found': 404,
	'method-not-allowed': 405,
	'body-too-large': 413,
	'not-available': 501,
	internal: 500,
	'invalid-document': 422,
	'unknown-preset': 404,
	'no-configuration': 404,
	conflict: 409,
	'change-id-reused': 422,
	'store-unavailable': 503,
	unresolved: 504,
	'stored-row-invalid': 500,
};

/**
 * Creates an error.
 *
 * @param kind what went wrong
 * @param message what happened and what to do about it
 * @param details further fields of the answer
 */
export function createError(
	kind: AdministrationErrorKind,
	message: string,
	details?: Readonly<Record<string, unknown>>,
): AdministrationError {
	return {kind, status: statusOf[kind], message, details};
}

/** Takes over the error of a change, with its faults or the change that won. */
export function toAdministrationError(error: ChangeError): AdministrationError {
	const {kind, message, faults, current} = error;
	return createError(kind, message, {faults, current});
}
