/** Parses the headers, query and JSON body of requests. */
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {resolveTeam} from './access.js';
import type {AdministrationRequest} from './administration.js';
import {
	administrationErrorKinds,
	createError,
	type AdministrationError,
} from './error.js';

/** Maximum length of a change id and of an operator's name. */
const maximumTextLength = 128;

/** Header with the id of a change; a change sent again with the same id is applied only once. */
export const changeIdHeader = 'foxtailtide-change-id';

/** Header with the version that a change is based on. */
export const expectedVersionHeader = 'foxtailtide-expected-version';

/** Header with the name of the operator, recorded in the history. */
export const operatorHeader = 'foxtailtide-operator';

/** The metadata of a change. */
export type ChangeFields = {
	readonly changeId: string;
	readonly expectedVersion: number | undefined;
	readonly by: string;
	readonly team: string;
};

const headersSchema = z.object({
	changeId: z.string().min(1).max(maximumTextLength).optional(),
	expectedVersion: z.coerce.number().int().min(0).optional(),
	by: z.string().min(1).max(maximumTextLength).optional(),
});

/**
 * Reads the headers of a change.
 *
 * @param request the request
 * @param createId creates the id of a change sent without one
 */
export function readChangeFields(
	request: AdministrationRequest,
	createId: () => string,
): Result<ChangeFields, AdministrationError> {
	const parsed = headersSchema.safeParse({
		changeId: request.headers[changeIdHeader],
		expectedVersion: request.headers[expectedVersionHeader],
		by: request.headers[operatorHeader],
	});
	if (!parsed.success) {
		return err(createMalformedError(parsed.error));
	}

	const {
		changeId = createId(),
		expectedVersion,
		by = request.identity.team,
	} = parsed.data;
	return readTeam(request).map(team => ({changeId, expectedVersion, by, team}));
}

/** Returns the team that the request applies to. */
export function readTeam(
	request: AdministrationRequest,
): Result<string, AdministrationError> {
	return resolveTeam(request.identity, request.query.get('team') ?? undefined);
}

/**
 * Reads a JSON body.
 *
 * @param body the text
 * @param schema schema that the value must match
 */
export function readJson<Schema extends z.ZodType>(
	body: string,
	schema: Schema,
): Result<z.infer<Schema>, AdministrationError> {
	let value: unknown;
	try {
		value = JSON.parse(body);
	} catch {
		const message = 'the body is not valid JSON; send a JSON object';
		return err(createError(administrationErrorKinds.malformed, message));
	}

	const parsed = schema.safeParse(value);
	return parsed.success ? ok(parsed.data) : err(createMalformedError(parsed.error));
}

function createMalformedError(error: z.ZodError): AdministrationError {
	const reasons = error.issues.map(
		issue => `${issue.path.join('.') || 'request'}: ${issue.message}`,
	);
	const message = `${reasons.join('; ')}; correct the request`;
	return createError(administrationErrorKinds.malformed, message);
}
