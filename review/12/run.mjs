/**
 * Consumers leave before their time limit. The instances that run their requests go on, and make the calls that
 * these need. Judged is whether the nodes let these calls in.
 */
// Steps follow each other.
/* eslint-disable no-await-in-loop */
import {runCase} from '../11/support/case.mjs';
import {createConfiguration, hasTrouble, send, sleep} from '../11/support/mesh.mjs';

const rounds = 60;
const roundMilliseconds = 200;
const timeLimitMilliseconds = 1500;
/** Three in ten consumers leave. */
const leavingShare = 0.3;
const leavesAfterMilliseconds = 100;
const callAfterMilliseconds = 300;
const key = 'key-of-courier';
/** More than 5 + one in 500 of all requests break the rule. */
const allowed = 5;
const allowedShare = 1 / 500;

await runCase(
	import.meta.dirname,
	{
		machines: [
			{zone: 'a', service: 'claims', slots: 13},
			{zone: 'a', service: 'routing', slots: 13},
			{zone: 'b', service: 'claims', slots: 13},
			{zone: 'b', service: 'routing', slots: 13},
		],
		bounds: {teams: {capWindowMilliseconds: 5000, revocationMilliseconds: 5000}},
		configuration: createConfiguration(1, ['claims', 'routing'], {
			tenants: [{name: 'courier', 'api-keys': [key]}],
		}),
	},
	async (mesh, record) => {
		const counts = {requests: 0, denied: 0, failedRuns: 0};
		/** Runs a claim, with a call in its middle; it goes on when its connection closes. */
		const createClaimHandler = node => (request, response, end) => {
			if (!request.url.startsWith('/claims/')) {
				return false;
			}

			const startedAt = performance.now();
			const requestId = request.headers['x-request-id'];
			const limit = Number(request.headers['x-request-deadline']);
			request.resume();
			setTimeout(async () => {
				const left = Math.floor(limit - (performance.now() - startedAt));
				counts.requests += 1;
				const {status} = await send(node, {
					target: '/routing/idempotent/lookup',
					id: `${requestId}.1`,
					deadline: left,
					from: node.host,
				});
				record(
					`call ${requestId}.1 of the instance of ${node.name}, ${left} ms left: ${status}`,
				);
				counts.denied +=
					status >= 300 && status < 500 && ![408, 421, 429].includes(status) ? 1 : 0;
				counts.failedRuns += status === 200 ? 0 : 1;
				end();
				if (!response.destroyed) {
					const body = status === 200 ? 'filed' : 'a call failed';
					response.writeHead(status === 200 ? 200 : 500, {
						'x-request-id': requestId,
						'x-response-seal': 'seal',
						'content-length': body.length,
					});
					response.end(body);
				}
			}, callAfterMilliseconds);
			return true;
		};

		for (const node of mesh.nodes) {
			node.instance.state.handle = createClaimHandler(node);
		}

		const sent = [];
		for (let round = 0; round < rounds; round += 1) {
			for (const node of mesh.nodes) {
				const id = `claim-${sent.length}-`;
				const isLeaving = hasTrouble && sent.length % 10 < leavingShare * 10;
				counts.requests += 1;
				sent.push(
					send(node, {
						method: 'POST',
						target: '/claims/non_idempotent/claim',
						id,
						body: 'a lost parcel',
						headers: {'api-key': key},
						deadline: timeLimitMilliseconds,
						leavesAfter: isLeaving ? leavesAfterMilliseconds : undefined,
					}).then(({status}) => {
						record(`${id} at ${node.name}: ${isLeaving ? 'the consumer left' : status}`);
					}),
				);
			}

			await sleep(roundMilliseconds);
		}

		await Promise.all(sent);
		await sleep(timeLimitMilliseconds);
		const bound = allowed + counts.requests * allowedShare;
		return {
			isBroken: counts.denied > bound,
			figures: `${counts.denied} calls of running requests got a 4xx of a node (allowed: ${bound.toFixed(1)} of ${counts.requests} requests); ${counts.failedRuns} runs lacked a call`,
		};
	},
);
