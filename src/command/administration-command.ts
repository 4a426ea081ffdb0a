/** Base class and flags of the commands that use a node's administration API. */
import {randomUUID} from 'node:crypto';
import {userInfo} from 'node:os';
import process from 'node:process';
import * as Flags from '@oclif/core/flags';
import type {Result} from 'neverthrow';
import {
	sendApiRequest,
	sendChange,
	type ApiRequest,
	type AdministrationTarget,
	type ClientError,
} from './administration-client.js';
import {BaseCommand} from './base-command.js';
import {exitCodes} from './exit-codes.js';

const defaultUrl = 'http://127.0.0.1:7400';

/** Address, token and team. The token is never an argument, as other users can see arguments. */
export const targetFlags = {
	administration: Flags.string({
		description: 'URL of the administration listener of any node',
		default: defaultUrl,
		env: 'FOXTAILTIDE_ADMINISTRATION',
	}),
	'token-file': Flags.string({
		description: 'file with the token; FOXTAILTIDE_TOKEN is used by default',
		env: 'FOXTAILTIDE_TOKEN_FILE',
	}),
	team: Flags.string({description: 'team; required with a token for all teams'}),
};

/** Id, expected version and author of a change. */
export const changeFlags = {
	'change-id': Flags.string({
		description: 'id of the change; use the same id to retry after a lost response',
	}),
	'expected-version': Flags.integer({
		description: 'refuse the change unless this version is the newest',
		min: 0,
	}),
	by: Flags.string({description: 'name for the history; your user name by default'}),
};

/** The parsed `targetFlags`. */
export type TargetFlagValues = {
	readonly administration: string;
	readonly 'token-file': string | undefined;
	readonly team: string | undefined;
};

/** The parsed `changeFlags`. */
export type ChangeFlagValues = {
	readonly 'change-id': string | undefined;
	readonly 'expected-version': number | undefined;
	readonly by: string | undefined;
};

export abstract class AdministrationCommand extends BaseCommand {
	static override enableJsonFlag = true;

	/**
	 * Sends a request; if it fails, the command exits with the matching exit code.
	 *
	 * @param values address, token and team
	 * @param apiRequest the request
	 */
	protected async sendRequest(
		values: TargetFlagValues,
		apiRequest: ApiRequest,
	): Promise<unknown> {
		const target = this.createTarget(values);
		return this.unwrap(await sendApiRequest(target, {...apiRequest, team: values.team}));
	}

	/**
	 * Sends a change; it is retried with the same id if its response is lost.
	 *
	 * @param values address, token and team, and the metadata of the change
	 * @param apiRequest the change
	 */
	protected async sendChange(
		values: TargetFlagValues & ChangeFlagValues,
		apiRequest: ApiRequest,
	): Promise<unknown> {
		const target = this.createTarget(values);
		const changeId = values['change-id'] ?? randomUUID();
		const headers = createChangeHeaders(values, changeId);
		const result = await sendChange(target, {
			...apiRequest,
			team: values.team,
			headers,
		});
		return this.unwrap(
			result.mapErr(error =>
				error.exitCode === exitCodes.unreachable
					? {
							...error,
							message: `${error.message}\nsend it again with --change-id ${changeId}`,
						}
					: error,
			),
		);
	}

	private createTarget(values: TargetFlagValues): AdministrationTarget {
		const url = URL.parse(values.administration);
		if (url === null) {
			return this.fail(
				exitCodes.badInput,
				`${values.administration} is not a URL: use the form ${defaultUrl}`,
			);
		}

		return {url, token: this.readToken(values['token-file'])};
	}

	private readToken(file: string | undefined): string {
		if (file === undefined) {
			return process.env.FOXTAILTIDE_TOKEN ?? '';
		}

		return this.readText(file).trim();
	}

	private unwrap(result: Result<unknown, ClientError>): unknown {
		if (result.isErr()) {
			return this.fail(result.error.exitCode, result.error.message);
		}

		return result.value;
	}
}

function createChangeHeaders(
	values: ChangeFlagValues,
	changeId: string,
): Record<string, string> {
	const expectedVersion = values['expected-version'];
	return {
		'foxtailtide-change-id': changeId,
		'foxtailtide-operator': values.by ?? userInfo().username,
		...(expectedVersion === undefined
			? {}
			: {'foxtailtide-expected-version': String(expectedVersion)}),
	};
}
