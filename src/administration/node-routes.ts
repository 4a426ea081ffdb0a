/** Routes for the node: health, members, state, drain, keys and metrics. */
import {err, ok} from 'neverthrow';
import * as z from 'zod';
import {roles} from './access.js';
import type {Handler, Route} from './administration.js';
import {administrationErrorKinds, createError} from './error.js';
import {readJson} from './fields.js';

const maximumKeysPerRequest = 1000;

const issueSchema = z.strictObject({
	service: z.string().min(1),
	count: z.int().min(1).max(maximumKeysPerRequest).default(1),
});

const showHealth: Handler = async () => ok({status: 200, json: {healthy: true}});

const showReadiness: Handler = async options => {
	const reason = options.findUnreadinessReason();
	return ok(
		reason === undefined
			? {status: 200, json: {ready: true}}
			: {status: 503, json: {ready: false, reason}},
	);
};

const showMetrics: Handler = async options =>
	ok({
		status: 200,
		text: await options.readMetrics(),
		contentType: 'text/plain; version=0.0.4; charset=utf-8',
	});

const listMembers: Handler = async options =>
	ok({status: 200, json: {members: options.members()}});

const dumpState: Handler = async options => ok({status: 200, json: options.dumpState()});

const drain: Handler = async (options, request) => {
	options.log.info('drain asked for', {team: request.identity.team});
	options.drain();
	return ok({status: 202, json: {draining: true}});
};

const issueKeys: Handler = async (options, request) => {
	const {issueKeys: issue} = options;
	if (issue === undefined) {
		const message = 'this node does not issue keys; use another node';
		return err(createError(administrationErrorKinds.notAvailable, message));
	}

	return readJson(request.body, issueSchema).andThen(({service, count}) =>
		issue(service, count)
			.map(keys => ({status: 200, json: {service, keys}}))
			.mapErr(({message}) => createError(administrationErrorKinds.notAvailable, message)),
	);
};

export const nodeRoutes: readonly Route[] = [
	{method: 'GET', path: '/healthz', handle: showHealth},
	{method: 'GET', path: '/readyz', handle: showReadiness},
	{method: 'GET', path: '/metrics', role: roles.read, handle: showMetrics},
	{method: 'GET', path: '/v1/members', role: roles.read, handle: listMembers},
	{method: 'GET', path: '/v1/state', role: roles.read, handle: dumpState},
	{method: 'POST', path: '/v1/drain', role: roles.operate, handle: drain},
	{method: 'POST', path: '/v1/keys', role: roles.operate, handle: issueKeys},
];
