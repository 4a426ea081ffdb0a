/**
 * A small mesh on loopback: two regions, four nodes with a server each, the table stand-in and
 * the presets of the Coastal Darkroom example. It shows a call, a preset switch and a state dump,
 * and then stops everything as planned. With `--keep` it runs until interrupted instead, for
 * experiments of the load tool.
 */
import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createMesh, type Mesh, type MeshNode} from './mesh.js';
import {runCommand} from './processes.js';

const shownCharacters = 1200;

const {values} = parseArgs({
	options: {
		'first-port': {type: 'string', default: '7400'},
		keep: {type: 'boolean', default: false},
	},
});

function show(title: string, text: string): void {
	process.stdout.write(`\n== ${title}\n${text.trimEnd()}\n`);
}

async function showCall(node: MeshNode, service: string, method: string): Promise<void> {
	const answer = await fetch(`http://127.0.0.1:${node.ports.data}/bays/4`, {
		method,
		headers: {
			'foxtailtide-service': service,
			'foxtailtide-deadline-ms': '2000',
			...(method === 'POST' ? {'idempotency-key': randomUUID()} : {}),
		},
	});
	const outcome = answer.headers.get('foxtailtide-outcome') ?? 'none';
	show(
		`${method} to ${service} through ${node.id}`,
		`status ${answer.status}, outcome ${outcome}\n${await answer.text()}`,
	);
}

async function showPresetSwitch(mesh: Mesh): Promise<void> {
	const [first, last] = [mesh.nodes[0]!, mesh.nodes.at(-1)!];
	show('preset list', await runCommand(mesh.environmentOf(first), 'preset', 'list'));
	show(
		'preset switch peaks',
		await runCommand(mesh.environmentOf(first), 'preset', 'switch', 'peaks'),
	);
	await mesh.waitUntil(async () => {
		const listed = await runCommand(mesh.environmentOf(last), 'preset', 'list');
		return listed.includes('* peaks');
	});
	show(
		`preset list at ${last.id}, in the other region`,
		await runCommand(mesh.environmentOf(last), 'preset', 'list'),
	);
	show(
		'configuration status',
		await runCommand(mesh.environmentOf(first), 'configuration', 'status'),
	);
}

async function showState(mesh: Mesh): Promise<void> {
	const node = mesh.nodes[0]!;
	const state = await runCommand(mesh.environmentOf(node), 'state');
	const shown = `${state.slice(0, shownCharacters)}\n... ${state.length} characters in all`;
	show(`state of ${node.id}`, shown);
}

async function showAll(mesh: Mesh): Promise<void> {
	await showCall(mesh.nodes[0]!, 'availability', 'GET');
	await showCall(mesh.nodes[3]!, 'booking', 'POST');
	await showPresetSwitch(mesh);
	await showState(mesh);
}

/** Leaves the mesh to the user, for experiments, until an interrupt. */
async function keepRunning(mesh: Mesh): Promise<void> {
	const ports = mesh.nodes.map(
		({id, ports}) => `${id}: data listener on port ${ports.data}`,
	);
	show('running until interrupted', ports.join('\n'));
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
}

async function main(): Promise<void> {
	const mesh = await createMesh(Number(values['first-port']));
	try {
		await (values.keep ? keepRunning(mesh) : showAll(mesh));
	} finally {
		show('stopping', 'every node leaves as planned');
		await mesh.stop();
	}

	show('done', 'all processes have ended');
}

void main();
