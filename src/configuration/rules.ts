/**
 * The rules between fields of a document: one preset in force, ranks without doubles whose floors
 * leave room, services of known ranks. They read the document loosely, so that they find their
 * faults beside those of the schema, in one pass.
 */
import * as z from 'zod';
import type {PlacedFault} from '../settings/document.js';

type LoosePreset = {
	readonly ranks: ReadonlyArray<{readonly name: string; readonly floorShare: number}>;
	readonly services: Readonly<Record<string, {readonly rank: string}>>;
};

const looseDocument = createLooseDocument();

/** Floors may use up the slots exactly; shares are decimal fractions, so sums may be off by this. */
const shareTolerance = 1e-9;

/**
 * Finds every breach of the rules between fields.
 *
 * @param value the document as parsed from YAML, whole or not
 * @returns the faults, none if the document keeps the rules
 */
export function findCrossFieldFaults(value: unknown): PlacedFault[] {
	const document = looseDocument.parse(value);
	const names = Object.keys(document.presets);
	const faults = Object.entries(document.presets).flatMap(([presetName, preset]) =>
		findPresetFaults(['presets', presetName], preset),
	);
	const {inForce} = document;
	if (inForce === undefined || names.includes(inForce)) {
		return faults;
	}

	const message = `no preset is named ${inForce}; name one of: ${names.join(', ')}`;
	return [{path: ['inForce'], message}, ...faults];
}

function findPresetFaults(path: readonly string[], preset: LoosePreset): PlacedFault[] {
	return [...findRankFaults(path, preset), ...findServiceFaults(path, preset)];
}

function findRankFaults(path: readonly string[], preset: LoosePreset): PlacedFault[] {
	const names = preset.ranks.map(rank => rank.name);
	const doubles = names.flatMap((rankName, index) =>
		rankName !== '' && names.indexOf(rankName) < index
			? [
					{
						path: [...path, 'ranks', index, 'name'],
						message: `rank ${rankName} stands twice; remove or rename one`,
					},
				]
			: [],
	);
	const total = preset.ranks.reduce((sum, rank) => sum + rank.floorShare, 0);
	if (total <= 1 + shareTolerance) {
		return doubles;
	}

	const message = `the floors of the ranks add up to ${total}; lower them to 1 or less together`;
	return [...doubles, {path: [...path, 'ranks'], message}];
}

function findServiceFaults(path: readonly string[], preset: LoosePreset): PlacedFault[] {
	const names = preset.ranks.map(rank => rank.name).filter(rankName => rankName !== '');
	return Object.entries(preset.services)
		.filter(([, service]) => service.rank !== '' && !names.includes(service.rank))
		.map(([serviceName, service]) => ({
			path: [...path, 'services', serviceName, 'rank'],
			message: `no rank is named ${service.rank}; name one of: ${names.join(', ')}`,
		}));
}

/** Reads what the rules need and puts a harmless value where the schema finds a fault. */
function createLooseDocument() {
	const rank = z
		.object({name: z.string().catch(''), floorShare: z.number().catch(0)})
		.catch({name: '', floorShare: 0});
	const service = z.object({rank: z.string()}).catch({rank: ''});
	const preset = z
		.object({
			ranks: z.array(rank).catch([]),
			services: z.record(z.string(), service).catch({}),
		})
		.catch({ranks: [], services: {}});
	return z
		.object({
			inForce: z.string().optional().catch(undefined),
			presets: z.record(z.string(), preset).catch({}),
		})
		.catch({presets: {}});
}
