/** Errors of the administration API: a stable kind, an HTTP status, and a message with a remedy. */
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

/** Error response to a request that was refused or failed. */
export type AdministrationError = {
	readonly kind: AdministrationErrorKind;
	readonly status: number;
	readonly message: string;
	/** Further fields of the response, such as the faults of a document. */
	readonly details?: Readonly<Record<string, unknown>>;
};

const statusByKind: Readonly<Record<AdministrationErrorKind, number>> = {
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
 * @param kind kind of the error; it determines the status
 * @param message what happened, and the remedy
 * @param details further fields of the response
 */
export function createError(
	kind: AdministrationErrorKind,
	message: string,
	details?: Readonly<Record<string, unknown>>,
): AdministrationError {
	return {kind, status: statusByKind[kind], message, details};
}

/** Converts the error of a change, including its faults or the current version on a conflict. */
export function toAdministrationError(error: ChangeError): AdministrationError {
	const {kind, message, faults, current} = error;
	return createError(kind, message, {faults, current});
}
