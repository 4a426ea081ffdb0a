/** Entry point of the program. */
import process from 'node:process';
import {runProgram} from './command/index.js';

void runProgram(process.argv.slice(2));
