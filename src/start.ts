/**
 * Starts the program from the code that the build compiled beforehand. Without a fitting cache,
 * such as under another release of Node.js, the program is compiled as usual.
 */
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import {Script} from 'node:vm';

type Program = (
	exports: unknown,
	require: NodeJS.Require,
	module: unknown,
	filename: string,
	directory: string,
) => void;

const filename = path.join(__dirname, 'program.cjs');
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(filename, 'utf8')}\n})`;
const script = new Script(source, {
	filename: 'target/program.cjs',
	cachedData: readFileSync(path.join(__dirname, 'program.cache')),
});
const module = {exports: {}};
const run = script.runInThisContext() as Program;
run(module.exports, createRequire(filename), module, filename, __dirname);
