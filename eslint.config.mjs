import perfectionist from 'eslint-plugin-perfectionist';
import tseslint from 'typescript-eslint';

const sortOptions = {order: 'asc', type: 'natural'};

export default tseslint.config(
  {
    ignores: [
      '**/node_modules/**',
      'dist/**',
      'target/**',
      'packages/*/src/gen/**',
      'scripts/**',
      '*.mjs',
    ],
  },
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {projectService: true, tsconfigRootDir: import.meta.dirname},
    },
    plugins: {perfectionist},
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: false, requireDefaultForNonUnion: true},
      ],
      eqeqeq: 'error',
      'no-restricted-exports': ['error', {restrictDefaultExports: {direct: true}}],
      'perfectionist/sort-exports': ['error', sortOptions],
      'perfectionist/sort-imports': ['error', sortOptions],
      'perfectionist/sort-named-exports': ['error', sortOptions],
      'perfectionist/sort-named-imports': ['error', sortOptions],
      'perfectionist/sort-objects': ['error', {...sortOptions, partitionByComment: true}],
      'prefer-const': 'error',
    },
  },
  {
    files: ['vitest.config.ts'],
    rules: {'no-restricted-exports': 'off'},
  },
);
