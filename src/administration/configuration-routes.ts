/** Routes for presets and configurations. */
import {err, ok, type Result} from 'neverthrow';
import type {Change, AppliedDocument} from '../configuration/index.js';
import {roles} from './access.js';
import type {
	AdministrationResponse,
	AdministrationOptions,
	AdministrationRequest,
	Handler,
	Route,
} from './administration.js';
import {
	administrationErrorKinds,
	createError,
	toAdministrationError,
	type AdministrationError,
} from './error.js';
import {readChangeFields, readTeam} from './fields.js';
import {readFleetStatus} from './fleet-status.js';

type HandlerResult = Result<AdministrationResponse, AdministrationError>;

const listPresets: Handler = async (options, request) =>
	findAppliedDocument(options, request).map(({version, document}) => ({
		status: 200,
		json: {
			team: document.team,
			version,
			inForce: document.inForce,
			presets: Object.keys(document.presets),
		},
	}));

const showPreset: Handler = async (options, request) =>
	findAppliedDocument(options, request).andThen(({version, document}): HandlerResult => {
		if (!Object.hasOwn(document.presets, request.name)) {
			const names = Object.keys(document.presets).join(', ');
			const message = `no preset is named ${request.name}; name one of: ${names}`;
			return err(createError('unknown-preset', message));
		}

		const {team, inForce, presets} = document;
		const json = {
			team,
			version,
			name: request.name,
			isInForce: inForce === request.name,
			preset: presets[request.name],
		};
		return ok({status: 200, json});
	});

const switchPreset: Handler = async (options, request) =>
	applyChange(options, request, {kind: 'preset', preset: request.name});

const showConfiguration: Handler = async (options, request) =>
	findAppliedDocument(options, request).map(
		({team, version, changeId, appliedAt, text}) => ({
			status: 200,
			json: {team, version, changeId, appliedAt: new Date(appliedAt).toISOString(), text},
		}),
	);

const applyConfiguration: Handler = async (options, request) =>
	applyChange(options, request, {kind: 'document', text: request.body});

const showHistory: Handler = async (options, request) => {
	const team = readTeam(request);
	if (team.isErr()) {
		return err(team.error);
	}

	const stored = await options.configuration.readStored(team.value);
	return stored.mapErr(toAdministrationError).map(storedConfiguration => ({
		status: 200,
		json: {
			team: team.value,
			version: storedConfiguration?.version ?? 0,
			changes: storedConfiguration?.history ?? [],
		},
	}));
};

const showStatus: Handler = async (options, request) => {
	const team = readTeam(request);
	if (team.isErr()) {
		return err(team.error);
	}

	return ok({status: 200, json: await readFleetStatus(options, team.value)});
};

async function applyChange(
	options: AdministrationOptions,
	request: AdministrationRequest,
	content: Change['content'],
): Promise<HandlerResult> {
	const fields = readChangeFields(request, options.createId);
	if (fields.isErr()) {
		return err(fields.error);
	}

	const result = await options.configuration.change({...fields.value, content});
	return result.mapErr(toAdministrationError).map(({record}) => {
		const {team} = fields.value;
		const {version, changeId, by, inForce} = record;
		options.log.info('change accepted', {team, version, changeId, by, inForce});
		return {status: 200, json: {accepted: true, team, ...record}};
	});
}

function findAppliedDocument(
	options: AdministrationOptions,
	request: AdministrationRequest,
): Result<AppliedDocument, AdministrationError> {
	return readTeam(request).andThen(team => {
		const appliedDocument = options.configuration
			.appliedDocuments()
			.find(document => document.team === team);
		const message = `this node has applied no configuration of team ${team}; apply one or check its status`;
		return appliedDocument === undefined
			? err(createError(administrationErrorKinds.notFound, message))
			: ok(appliedDocument);
	});
}

export const configurationRoutes: readonly Route[] = [
	{method: 'GET', path: '/v1/presets', role: roles.read, handle: listPresets},
	{method: 'GET', path: '/v1/presets/:name', role: roles.read, handle: showPreset},
	{
		method: 'POST',
		path: '/v1/presets/:name/switch',
		role: roles.operate,
		handle: switchPreset,
	},
	{method: 'GET', path: '/v1/configuration', role: roles.read, handle: showConfiguration},
	{
		method: 'PUT',
		path: '/v1/configuration',
		role: roles.operate,
		handle: applyConfiguration,
	},
	{
		method: 'GET',
		path: '/v1/configuration/history',
		role: roles.read,
		handle: showHistory,
	},
	{method: 'GET', path: '/v1/configuration/status', role: roles.read, handle: showStatus},
];
