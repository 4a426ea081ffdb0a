/**
 * Idempotency keys at a node: its key home, the calls to other homes, the issuer, and the closing
 * row on a graceful stop.
 */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {
	createWriteBudget,
	defaultFleetWritesPerSecond,
	type AddressedHome,
	type KeySecrets,
} from '../binding/index.js';
import type {Logger} from '../log/index.js';
import type {Membership} from '../membership/index.js';
import type {TableClient} from '../table/index.js';
import type {Settings} from '../settings/index.js';
import type {RunCall} from './call-runner.js';
import {createKeyBinder, type KeyBinder} from './key-binding.js';
import {createKeyHome, type KeyHome, type KeyHomeState} from './key-home.js';
import {createKeyEndpoint, createKeyIssuer, type KeyIssuer} from './key-issuer.js';
import {
	createEndedHomes,
	createKeyedCalls,
	type RunKeyedCall,
	type SendToHome,
} from './keyed-call.js';

export type NodeKeys = {
	/** Runs a keyed (non-idempotent) call at its home, wherever that is. */
	readonly run: RunKeyedCall;
	/** Runs a keyed call that another node forwarded to this node as its home. */
	readonly runAtHome: KeyHome['run'];
	/** Issues single keys for operators; the error message names the remedy. */
	readonly issueMany: (
		service: string,
		count: number,
	) => Result<readonly string[], {readonly message: string}>;
	/** Answers a request for keys; false if the request is another. */
	readonly handleKeyRequest: (
		request: IncomingMessage,
		response: ServerResponse,
	) => boolean;
	readonly state: () => KeyHomeState;
	/** Stops accepting new keys, waits for running calls, and writes the closing row. */
	readonly close: () => Promise<void>;
};

type NodeKeysOptions = {
	readonly settings: Settings;
	readonly membership: Membership;
	readonly table: TableClient | undefined;
	readonly runCall: RunCall;
	readonly sendToHome: SendToHome;
	/** Current time, milliseconds of the monotonic clock. */
	readonly now: () => number;
	readonly log: Logger;
};

const incarnationBytes = 12;
const closingTimeoutMilliseconds = 5000;
const closingRetryMilliseconds = 250;

/**
 * Creates the key components of a node and connects them.
 *
 * @param options their dependencies
 * @returns the connected components
 */
export function createNodeKeys(options: NodeKeysOptions): NodeKeys {
	const {settings, membership, table, runCall, log} = options;
	const wallClock = Date.now;
	const {nodeId, host, peerPort: port} = membership.self();
	const home: AddressedHome = {
		nodeId,
		host,
		port,
		incarnation: randomBytes(incarnationBytes).toString('base64url'),
	};
	const secrets = readSecrets(settings, log);
	const {keyLifetimeMilliseconds} = settings.binding;
	const keyHome = createKeyHome({home, runCall, wallClock});
	const binder = table && createBinder(options, table, home);
	const issue = createKeyIssuer({keyHome, secrets, wallClock, keyLifetimeMilliseconds});
	return {
		run: createKeyedCalls({
			keyHome,
			secrets,
			binder,
			endedHomes: createEndedHomes(),
			sendToHome: options.sendToHome,
		}),
		runAtHome: keyHome.run,
		issueMany: (service, count) => issueMany(issue, service, count),
		handleKeyRequest: createKeyEndpoint(issue),
		state: keyHome.state,
		async close() {
			const row = await keyHome.close();
			const deadline = options.now() + closingTimeoutMilliseconds;
			const isWritten = table
				? await writeClosingRow(table, row, () => options.now() < deadline)
				: false;
			log.info('key home closed', {...keyHome.state(), isWritten});
		},
	};
}

function issueMany(issue: KeyIssuer, service: string, count: number) {
	const documents = Array.from({length: count}, () => issue(service, false));
	const keys = documents.flatMap(document => document?.key ?? []);
	return keys.length === count
		? ok(keys)
		: err({message: 'this node is stopping: request keys from another node'});
}

function createBinder(
	options: NodeKeysOptions,
	table: TableClient,
	home: AddressedHome,
): KeyBinder {
	const {settings, now} = options;
	const limits = {
		fleetWritesPerSecond: defaultFleetWritesPerSecond,
		members: Math.max(1, options.membership.all().length),
	};
	return createKeyBinder({
		home,
		table,
		budget: createWriteBudget(limits, now()),
		now,
		wallClock: Date.now,
		keyLifetimeMilliseconds: settings.binding.keyLifetimeMilliseconds,
	});
}

/** Generates a secret if the settings have none; keys of other nodes then fail verification. */
function readSecrets(settings: Settings, log: Logger): KeySecrets {
	const [signingSecret, ...oldSecrets] = settings.binding.keySecrets ?? [];
	if (signingSecret !== undefined) {
		return [signingSecret, ...oldSecrets];
	}

	log.info('no key secrets in the settings: keys are good at this node only');
	return [Buffer.from(randomBytes(32)).toString('base64url')];
}

/** A conflict counts as written: nobody else knows this incarnation, so the row is this node's own. */
async function writeClosingRow(
	table: TableClient,
	row: {readonly key: string; readonly value: string},
	hasTimeLeft: () => boolean,
): Promise<boolean> {
	while (hasTimeLeft()) {
		// Each write follows the failure of the previous one.
		// eslint-disable-next-line no-await-in-loop
		const written = await table.write(row.key, row.value, {kind: 'absent'});
		if (written.isOk() || written.error.kind === 'conflict') {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await sleep(closingRetryMilliseconds);
	}

	return false;
}
